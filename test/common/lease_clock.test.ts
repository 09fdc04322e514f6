/**
 * Guards against a lease that is still considered valid after a suspension. The
 * monotonic clock stops while a machine is suspended, so after 5,000 ms a process found
 * its lease of 450 ms only 10 ms old, while the others had elected another leader and
 * revoked a key.
 */
import {describe, expect, test} from 'vitest';
import {LeaseClock} from '../../src/common/lease_clock';

const SUSPENDED_MS = 5_000;

function start() {
  let monotonic = 1_000;
  let wall = 1_700_000_000_000;
  const pauses: number[] = [];
  const clock = LeaseClock.create({
    monotonic: {now: () => monotonic},
    wall: () => Math.floor(wall),
    onPause: pause => pauses.push(pause.steppedMs),
  });
  return {
    clock,
    pauses,
    run: (ms: number) => {
      monotonic += ms;
      wall += ms;
    },
    suspend: (ms: number) => (wall += ms),
    step: (ms: number) => (wall += ms),
  };
}

describe('a lease clock', () => {
  test('follows the monotonic clock while the process runs', () => {
    const {clock, run, pauses} = start();
    const before = clock.now();
    for (let at = 0; at < 1_000; at += 1) {
      run(10.3);
      clock.now();
    }
    expect(clock.now() - before).toBeCloseTo(10_300, -1);
    expect(pauses).toEqual([]);
  });

  test('includes a suspension from the first reading after it', () => {
    const {clock, run, suspend, pauses} = start();
    const before = clock.now();
    run(10);
    suspend(SUSPENDED_MS);
    expect(clock.now() - before).toBeGreaterThanOrEqual(SUSPENDED_MS);
    expect(pauses).toEqual([SUSPENDED_MS]);
    expect(clock.pausedAt).toBe(1_010);
  });

  test('adds up short suspensions', () => {
    const {clock, run, suspend} = start();
    const before = clock.now();
    for (let at = 0; at < 100; at += 1) {
      suspend(20);
      run(1);
    }
    expect(clock.now() - before).toBeGreaterThanOrEqual(2_000);
  });

  test('expires all leases after a step back, which may hide a suspension', () => {
    const {clock, run, suspend, step} = start();
    const before = clock.now();
    run(10);
    suspend(SUSPENDED_MS);
    step(-2 * SUSPENDED_MS);
    expect(clock.now() - before).toBeGreaterThanOrEqual(SUSPENDED_MS);
  });

  test('counts a step forward as a suspension, once', () => {
    const {clock, run, step} = start();
    const before = clock.now();
    step(2_000);
    expect(clock.now() - before).toBeGreaterThanOrEqual(2_000);
    const after = clock.now();
    run(100);
    expect(clock.now() - after).toBeCloseTo(100, -1);
  });

  test('never decreases', () => {
    const {clock, run, step} = start();
    let newest = clock.now();
    for (const ms of [-3_000, 2, -1, 40, -60, 5_000, -30, 30]) {
      step(ms);
      run(0.1);
      expect(clock.now()).toBeGreaterThanOrEqual(newest);
      newest = clock.now();
    }
  });
});
