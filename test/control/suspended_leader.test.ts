/**
 * Guards against a stale leader lease after a suspension of the machine, which its
 * monotonic clock does not count. After 5 s, in which the others may have elected a
 * new leader, the lease of 450 ms still appeared valid, since the last round was only
 * 20 ms old on that clock.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {ControlServer} from '../../src/control/control_server';
import {reservePort} from '../support/reserve_port';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

const SUSPENDED_MS = 5_000;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function start(name: string, seeds: string[]): Promise<ControlServer> {
  const [host, port] = name.split(':');
  const control = await ControlServer.create({
    name,
    host,
    port: Number(port),
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-suspended-')),
    peers: new Map(),
    trustedKeys: [],
    leaseMs: 5_000,
    seeded: {seeds, isFirstStart: true, voters: 3, minCopies: 2},
  });
  closers.push(() => control.close());
  return control;
}

function countElections(controls: readonly ControlServer[]): number {
  const events = controls.flatMap(({events}) => events.listSince(0));
  return events.filter(({type}) => type === 'became-leader').length;
}

test('a suspended leader serves no requests until a quorum has confirmed it again', async () => {
  const ports = await Promise.all([1, 2, 3].map(() => reservePort()));
  const names = ports.map(port => `127.0.0.1:${port}`);
  const controls = await Promise.all(names.map(name => start(name, names)));
  const leader = await waitUntil('a leader', () =>
    controls.find(({isLeading}) => isLeading),
  );
  const elections = countElections(controls);

  closers.push(suspend(SUSPENDED_MS));
  expect(leader.isLeading).toBe(false);
  await waitUntil('the next confirmed round', () => leader.isLeading);
  // A clock adjustment without a real suspension costs one round but no election.
  expect(countElections(controls)).toBe(elections);
});
