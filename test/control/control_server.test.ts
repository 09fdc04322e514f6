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

test('a quorum is formed once, however slow the disk is', async () => {
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
  await waitUntil('the lead', () =>
    control.events.listSince(0).some(event => event.type === 'became-leader'),
  );

  expect(spy).toHaveBeenCalledTimes(1);
  expect(
    control.events.listSince(0).filter(({type}) => type === 'quorum-formed'),
  ).toHaveLength(1);
  await control.close();
});

// A process whose disk was lost came back while the new disk was full for half a
// second, and ended by itself with "cannot write the snapshot /data/snapshot: no room",
// since a write for want of room was tried again everywhere but before the first
// snapshot. Found by the simulation of the quorum, seed 37.
test('a process that has no room for its first snapshot waits until it has', async () => {
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
  await waitUntil('the lead', () => types().includes('became-leader'), 5_000);

  expect(spy.mock.calls.length).toBeGreaterThan(1);
  expect(types()).toContain('disk-full');
  await control.close();
});
