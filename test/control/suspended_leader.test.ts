/**
 * A machine may be suspended for seconds, and its steady clock does not count them.
 * A leader that was away for 5 s, while the others may have elected another one,
 * found its lease of 450 ms held: its last round was 20 ms old by its own clock.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {ControlServer} from '../../src/control/control_server';
import {reservePort} from '../support/reserve_port';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

const AWAY_MS = 5_000;
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

test('a leader that was suspended answers nothing until a quorum has confirmed it again', async () => {
  const ports = await Promise.all([1, 2, 3].map(() => reservePort()));
  const names = ports.map(port => `127.0.0.1:${port}`);
  const controls = await Promise.all(names.map(name => start(name, names)));
  const leader = await waitUntil('a leader', () =>
    controls.find(({isLeading}) => isLeading),
  );
  const elections = countElections(controls);

  closers.push(suspend(AWAY_MS));
  expect(leader.isLeading).toBe(false);
  await waitUntil('its next round', () => leader.isLeading);
  // One round is all that a clock that was only set costs.
  expect(countElections(controls)).toBe(elections);
});
