import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test, vi} from 'vitest';
import {ControlServer} from '../../src/control/control_server';
import {SnapshotStore} from '../../src/state/snapshot_store';
import {StateError} from '../../src/state/state_error';
import {waitUntil} from '../support/wait_until';

const SLOW_DISK_MS = 400;

afterEach(() => vi.restoreAllMocks());

test('a quorum is formed only once on a slow disk', async () => {
  const save = SnapshotStore.prototype.save;
  const spy = vi
    .spyOn(SnapshotStore.prototype, 'save')
    .mockImplementation(async function (this: SnapshotStore, snapshot) {
      await new Promise(resolve => setTimeout(resolve, SLOW_DISK_MS));
      await save.call(this, snapshot);
    });
  const control = await ControlServer.create({
    name: 'a',
    host: '127.0.0.1',
    port: 0,
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-forming-')),
    peers: new Map(),
    trustedKeys: [],
    leaseMs: 5_000,
  });
  await waitUntil('the election', () =>
    control.events.listSince(0).some(event => event.type === 'became-leader'),
  );

  expect(spy).toHaveBeenCalledTimes(1);
  expect(
    control.events.listSince(0).filter(({type}) => type === 'quorum-formed'),
  ).toHaveLength(1);
  await control.close();
});

// Writes to a full disk were retried everywhere except for the first snapshot: a process
// that restarted with a new disk, full for half a second, exited with "cannot write the
// snapshot /data/snapshot: no room". Found by the quorum simulation with seed 37.
test('a process retries its first snapshot while the disk is full', async () => {
  const full = new StateError({name: 'DiskFull'}, 'no room');
  const spy = vi
    .spyOn(SnapshotStore.prototype, 'save')
    .mockRejectedValueOnce(full);
  const control = await ControlServer.create({
    name: 'a',
    host: '127.0.0.1',
    port: 0,
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-full-')),
    peers: new Map(),
    trustedKeys: [],
    leaseMs: 5_000,
  });
  const types = () => control.events.listSince(0).map(({type}) => type);
  await waitUntil(
    'the election',
    () => types().includes('became-leader'),
    5_000,
  );

  expect(spy.mock.calls.length).toBeGreaterThan(1);
  expect(types()).toContain('disk-full');
  await control.close();
});
