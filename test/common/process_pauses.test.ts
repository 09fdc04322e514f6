/** Guards against a process that takes what it reads after a pause for something that has just happened. */
import {expect, test} from 'vitest';
import {ProcessPauses} from '../../src/common/process_pauses';

function start() {
  const time = {monotonic: 0, wall: 0};
  const pauses = ProcessPauses.create({
    monotonic: {now: () => time.monotonic},
    wall: () => time.wall,
  });
  const advance = (ms: number, suspendedMs = 0) => {
    time.monotonic += ms;
    time.wall += ms + suspendedMs;
  };
  return {pauses, advance};
}

test('a process that runs all the time has not paused', () => {
  const {pauses, advance} = start();
  for (let at = 0; at < 100; at += 1) {
    advance(20);
    pauses.record();
  }
  expect(pauses.hasPausedLately()).toBe(false);
});

test('a process whose timer is late by its own interval has not paused', () => {
  const {pauses, advance} = start();
  advance(40);
  expect(pauses.hasPausedLately()).toBe(false);
});

test.each([
  ['was stopped', 400, 0],
  ['was held up', 120, 0],
  ['was suspended with its machine', 20, 400],
])('a process that %s has paused, for a while', (_what, ms, suspendedMs) => {
  const {pauses, advance} = start();
  advance(ms, suspendedMs);
  expect(pauses.hasPausedLately()).toBe(true);
  for (let at = 0; at < 12; at += 1) {
    advance(20);
    pauses.record();
  }
  expect(pauses.hasPausedLately()).toBe(true);
  advance(20);
  expect(pauses.hasPausedLately()).toBe(false);
});
