import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {expect, test} from 'vitest';
import {systemClock} from '../../src/common/system_clock';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {defaultRaftTiming} from '../../src/coordination/agreement/default_raft_timing';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {waitUntil} from '../support/wait_until';

async function openDisk(
  folder: string,
  snapshotIndex: number,
): Promise<ControlDataFolder> {
  const disk = await ControlDataFolder.create(folder, 'a');
  const voters = {a: disk.identity};
  await disk.snapshots.save({
    index: snapshotIndex,
    term: 1,
    voters,
    state: new Uint8Array(),
  });
  return disk;
}

function createFolder(): string {
  return mkdtempSync(path.join(tmpdir(), 'whinreel-runtime-'));
}

function start(disk: ControlDataFolder, failures: Error[] = []): RaftRuntime {
  return RaftRuntime.create({
    disk,
    clock: systemClock,
    timing: defaultRaftTiming,
    random: () => 0,
    send: () => undefined,
    onFailure: error => failures.push(error),
    onChange: () => undefined,
    snapshotEvery: 8,
  });
}

function drain(hostId: string) {
  return {
    type: 'drain-host',
    time: 1,
    hostId,
    isDraining: true,
    keyId: 'k',
  } as const;
}

test('a log that does not follow its snapshot is refused', async () => {
  const folder = createFolder();
  const disk = await openDisk(folder, 5);
  const command = {type: 'start-term' as const, time: 0};
  await disk.log.append([{type: 'entry', entry: {index: 9, term: 1, command}}]);
  await disk.close();
  const again = await ControlDataFolder.create(folder, 'a');

  expect(() => start(again)).toThrow('entry 9 cannot follow 5');
  await again.close();
});

test('a quorum of one commits, takes snapshots, and finds everything again after a restart', async () => {
  const folder = createFolder();
  const disk = await openDisk(folder, 0);
  const runtime = start(disk);
  await waitUntil('the lead', () => runtime.canAnswer());
  for (let at = 0; at < 30; at += 1) {
    await runtime.propose(drain(`h${at}`));
  }
  await waitUntil(
    'a snapshot',
    () => (disk.snapshots.current?.index ?? 0) >= 16,
  );
  await runtime.close();
  await disk.close();

  const again = await ControlDataFolder.create(folder, 'a');
  const restarted = start(again);
  await waitUntil('the lead', () => restarted.canAnswer());
  const hosts = Array.from({length: 30}, (_, at) => `h${at}`);
  expect(hosts.every(hostId => restarted.state.isDrained(hostId))).toBe(true);
  await restarted.close();
  await again.close();
});

test('a disk that fails stops the node, and what it did not write is not acknowledged', async () => {
  const failures: Error[] = [];
  const disk = await openDisk(createFolder(), 0);
  const runtime = start(disk, failures);
  await waitUntil('the lead', () => runtime.canAnswer());
  await disk.log.close();
  const outcome = Promise.race([
    runtime.propose(drain('h')).then(() => 'acknowledged'),
    waitUntil('the failure', () => failures.length > 0).then(() => 'failed'),
  ]);

  expect(await outcome).toBe('failed');
  expect(failures[0].message).toMatch(/cannot write the log/);
});

test('a data folder of another control process is refused', async () => {
  const folder = createFolder();
  const disk = await ControlDataFolder.create(folder, 'a');
  await expect(ControlDataFolder.create(folder, 'b')).rejects.toThrow(
    /belongs to "a", not to "b"/,
  );
  await disk.close();
});
