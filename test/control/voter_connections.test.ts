import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {ControlServer} from '../../src/control/control_server';
import {LogRecord} from '../../src/state/log_record';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {createVoterMachine} from '../support/create_voter_machine';
import {startSeededControl} from '../support/start_seeded_control';
import {waitUntil} from '../support/wait_until';

// Guards against voters that do not connect to each other after a restart. A quorum
// grew from three seeds to five voters; then all lost power and two seeds lost their
// disks, which the quorum must tolerate. Restarted processes connected to the seeds
// only, although their logs name every voter, and the remaining seed reported only the
// initial voters, since it did not rely on its log without a leader. Only the two
// voters that are no seeds had the newest acknowledged entry and could become leader,
// but they never connected to each other, so no leader was elected.

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

type Machine = Awaited<ReturnType<typeof createVoterMachine>>;

/** Writes the disk content of a voter at the time of the power loss. */
async function writeDisk(
  {folder, name}: Machine,
  initialVoters: readonly Machine[],
  records: readonly LogRecord[],
): Promise<void> {
  const disk = await ControlDataFolder.create(folder, name);
  const voters = Object.fromEntries(
    initialVoters.map(voter => [voter.name, voter.identity]),
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
  const control = await startSeededControl({
    name,
    folder,
    seeds: seeds.map(seed => seed.name),
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

describe('voters that are not seeds', () => {
  test('connect to each other after two seeds lost their disks', async () => {
    const [a, b, c, d, e] = await Promise.all(
      [1, 2, 3, 4, 5].map(() => createVoterMachine()),
    );
    const initialVoters = [a, b, c];
    const growth = [addVoter(1, d), addVoter(2, e)];
    const commit = {type: 'commit' as const, index: 2};
    await writeDisk(c, initialVoters, [...growth, commit]);
    await writeDisk(d, initialVoters, [...growth, commit, addEntry(3)]);
    await writeDisk(e, initialVoters, [...growth, commit, addEntry(3)]);
    const survivors = await Promise.all(
      [c, d, e].map(machine => start(machine, initialVoters)),
    );

    await waitUntil(
      'a leader',
      () => survivors.some(({isLeading}) => isLeading),
      10_000,
    );
    expect(survivors[0].isLeading).toBe(false);
  });

  test('connect to each other when the wiped seeds restart at the same time', async () => {
    const [a, b, c, d, e] = await Promise.all(
      [1, 2, 3, 4, 5].map(() => createVoterMachine()),
    );
    const initialVoters = [a, b, c];
    const growth = [addVoter(1, d), addVoter(2, e)];
    const commit = {type: 'commit' as const, index: 2};
    await writeDisk(c, initialVoters, [...growth, commit]);
    await writeDisk(d, initialVoters, [...growth, commit, addEntry(3)]);
    await writeDisk(e, initialVoters, [...growth, commit, addEntry(3)]);
    const wiped = [a, b].map(machine => ({
      ...machine,
      folder: mkdtempSync(path.join(tmpdir(), 'whinreel-wiped-')),
    }));
    const controls = await Promise.all(
      [...wiped, c, d, e].map(machine => start(machine, initialVoters)),
    );

    await waitUntil(
      'a leader',
      () => controls.some(({isLeading}) => isLeading),
      10_000,
    );
    expect(controls.findIndex(({isLeading}) => isLeading)).toBeGreaterThan(2);
  });
});
