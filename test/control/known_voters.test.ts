import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {ControlServer} from '../../src/control/control_server';
import {LogRecord} from '../../src/state/log_record';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

// Five voters grew out of three seeds. All lost power and the disks of two seeds were
// lost: as many as are to be borne. A process that started again connected to the
// seeds alone, though its own log names every voter, and the seed that was left told
// others of the founders only, since it does not count on its log before it has a
// leader. The two voters that were no seeds held the newest acknowledged entry, the
// seed lagged and could not lead, and those two never met: no leader for good.

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

interface Machine {
  readonly name: string;
  readonly folder: string;
  readonly identity: string;
}

async function createMachine(): Promise<Machine> {
  const name = `127.0.0.1:${await reservePort()}`;
  const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-voters-'));
  const disk = await ControlDataFolder.create(folder, name);
  const {identity} = disk;
  await disk.close();
  return {name, folder, identity};
}

/** Writes what a voter had on its disk when the power went. */
async function writeDisk(
  {folder, name}: Machine,
  founders: readonly Machine[],
  records: readonly LogRecord[],
): Promise<void> {
  const disk = await ControlDataFolder.create(folder, name);
  const voters = Object.fromEntries(
    founders.map(founder => [founder.name, founder.identity]),
  );
  const state = new Uint8Array();
  await disk.snapshots.save({index: 0, term: 0, voters, state});
  await disk.log.append(records);
  await disk.close();
}

async function start(
  {name, folder}: Machine,
  seeds: readonly Machine[],
): Promise<ControlServer> {
  const [host, port] = name.split(':');
  const control = await ControlServer.create({
    name,
    host,
    port: Number(port),
    dataFolder: folder,
    peers: new Map(),
    trustedKeys: [],
    trustedChannels: [],
    leaseMs: 5_000,
    seeded: {
      seeds: seeds.map(seed => seed.name),
      isFirstStart: false,
      voters: 5,
      minCopies: 3,
    },
  });
  closers.push(() => control.close());
  return control;
}

function addVoter(index: number, {name, identity}: Machine): LogRecord {
  const command = {type: 'set-voter' as const, time: 0, name, identity};
  return {type: 'entry', entry: {index, term: 1, command}};
}

function addEntry(index: number): LogRecord {
  const command = {type: 'start-term' as const, time: 0};
  return {type: 'entry', entry: {index, term: 1, command}};
}

describe('voters that are no seeds', () => {
  test('find each other after the disks of two seeds were lost', async () => {
    const [a, b, c, d, e] = await Promise.all(
      [1, 2, 3, 4, 5].map(() => createMachine()),
    );
    const founders = [a, b, c];
    const growth = [addVoter(1, d), addVoter(2, e)];
    const commit = {type: 'commit' as const, index: 2};
    await writeDisk(c, founders, [...growth, commit]);
    await writeDisk(d, founders, [...growth, commit, addEntry(3)]);
    await writeDisk(e, founders, [...growth, commit, addEntry(3)]);
    const survivors = await Promise.all(
      [c, d, e].map(machine => start(machine, founders)),
    );

    await waitUntil(
      'a leader',
      () => survivors.some(({isLeading}) => isLeading),
      10_000,
    );
    expect(survivors[0].isLeading).toBe(false);
  });

  test('find each other where the wiped seeds are back at once', async () => {
    const [a, b, c, d, e] = await Promise.all(
      [1, 2, 3, 4, 5].map(() => createMachine()),
    );
    const founders = [a, b, c];
    const growth = [addVoter(1, d), addVoter(2, e)];
    const commit = {type: 'commit' as const, index: 2};
    await writeDisk(c, founders, [...growth, commit]);
    await writeDisk(d, founders, [...growth, commit, addEntry(3)]);
    await writeDisk(e, founders, [...growth, commit, addEntry(3)]);
    const wiped = [a, b].map(machine => ({
      ...machine,
      folder: mkdtempSync(path.join(tmpdir(), 'whinreel-wiped-')),
    }));
    const controls = await Promise.all(
      [...wiped, c, d, e].map(machine => start(machine, founders)),
    );

    await waitUntil(
      'a leader',
      () => controls.some(({isLeading}) => isLeading),
      10_000,
    );
    expect(controls.findIndex(({isLeading}) => isLeading)).toBeGreaterThan(2);
  });
});
