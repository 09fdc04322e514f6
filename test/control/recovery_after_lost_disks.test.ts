import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {ControlClient} from '../../src/protocol/control_client';
import {LogRecord} from '../../src/state/log_record';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {createVoterMachine} from '../support/create_voter_machine';
import {startSeededControl} from '../support/start_seeded_control';
import {waitUntil} from '../support/wait_until';

// Guards against a recovery that depends on a process or an address that was lost with its disk.

const CALL_TIMEOUT_MS = 15_000;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

type Machine = Awaited<ReturnType<typeof createVoterMachine>>;

function createFolder(): string {
  return mkdtempSync(path.join(tmpdir(), 'whinreel-lost-disks-'));
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

/**
 * Five voters lost power, and two of them their disks; they come back one after the
 * other. The survivors hold different ends of the log, and a voter change among them.
 */
async function recover(order: readonly number[]) {
  const machines = await Promise.all(
    [1, 2, 3, 4, 5].map(() => createVoterMachine()),
  );
  const [, , third, fourth, fifth] = machines;
  const founders = machines.slice(0, 3);
  const state = new Uint8Array();
  const voters = Object.fromEntries(
    founders.map(({name, identity}) => [name, identity]),
  );
  const addVoter = (index: number, {name, identity}: Machine): LogRecord => {
    const command = {type: 'set-voter' as const, time: 0, name, identity};
    return {type: 'entry', entry: {index, term: 1, command}};
  };
  const settle = (index: number): LogRecord => {
    const command = {type: 'settle-voters' as const, time: 0};
    return {type: 'entry', entry: {index, term: 1, command}};
  };
  const growth = [addVoter(1, fourth), addVoter(2, fifth), settle(3)];
  const newest = {type: 'start-term' as const, time: 0};
  const acked: LogRecord = {
    type: 'entry',
    entry: {index: 4, term: 1, command: newest},
  };
  const logs = new Map([
    [third, growth],
    [fourth, growth],
    [fifth, [...growth, acked]],
  ]);
  for (const [{folder, name}, records] of logs) {
    const disk = await ControlDataFolder.create(folder, name);
    await disk.snapshots.save({index: 0, term: 0, voters, state});
    await disk.log.append(records);
    await disk.close();
  }
  const wiped = machines
    .slice(0, 2)
    .map(machine => ({...machine, folder: createFolder()}));
  const returning = [...wiped, third, fourth, fifth];
  const controls: ControlServer[] = [];
  for (const place of order) {
    controls[place] = await start(returning[place], founders);
  }
  return {machines, controls};
}

describe('after the loss of two disks and all power', () => {
  test.each([
    ['the wiped ones first', [0, 1, 2, 3, 4]],
    ['the wiped ones last', [4, 3, 2, 1, 0]],
  ])(
    'a client that knows the wiped addresses only finds the leader, %s',
    async (_, order) => {
      const {machines, controls} = await recover(order);
      const client = ControlClient.create({
        addresses: machines
          .slice(0, 2)
          .map(({name}) => name)
          .map(ServerAddress.parse),
        identity: {program: 'gateway', id: 'g', incarnation: 'i'},
      });
      closers.push(() => client.close());

      await client.ask({type: 'leader-ask'}, CALL_TIMEOUT_MS);

      // Only the fifth holds the newest entry.
      expect(controls[4].isLeading).toBe(true);
    },
  );

  test('the wiped processes are admitted again, under new identities', async () => {
    const {machines, controls} = await recover([2, 0, 4, 1, 3]);
    const listVoters = () =>
      controls[4].describeQuorum().voterSets.flat().sort();

    await waitUntil(
      'five voters with a disk',
      () =>
        controls[4].isLeading &&
        controls[4].describeQuorum().voterSets.length === 1 &&
        machines
          .slice(0, 2)
          .every(({identity}) => !listVoters().includes(identity)),
      CALL_TIMEOUT_MS,
    );

    expect(listVoters().map(identity => identity.split('/')[0])).toEqual(
      machines.map(({name}) => name).sort(),
    );
  });
});
