/**
 * A machine was suspended for seconds and went on as if no time had passed: its
 * steady clock had stood still, so a confirmation from before was as young as when
 * it was asked for, while the others had elected another leader and taken a key
 * away. On a virtual clock a process that was away for 5,000 ms found its lease of
 * 450 ms held at the age of 10 ms.
 */
import {describe, expect, test} from 'vitest';
import {LeaseClock} from '../../src/common/lease_clock';

const AWAY_MS = 5_000;

function start() {
  let steady = 1_000;
  let wall = 1_700_000_000_000;
  const pauses: number[] = [];
  const clock = LeaseClock.create({
    monotonic: {now: () => steady},
    wall: () => Math.floor(wall),
    onPause: pause => pauses.push(pause.steppedMs),
  });
  return {
    clock,
    pauses,
    run: (ms: number) => {
      steady += ms;
      wall += ms;
    },
    suspend: (ms: number) => (wall += ms),
    step: (ms: number) => (wall += ms),
  };
}

describe('the clock of leases', () => {
  test('goes with the steady clock as long as the process runs', () => {
    const {clock, run, pauses} = start();
    const before = clock.now();
    for (let at = 0; at < 1_000; at += 1) {
      run(10.3);
      clock.now();
    }
    expect(clock.now() - before).toBeCloseTo(10_300, -1);
    expect(pauses).toEqual([]);
  });

  test('counts the time of a suspension at the first look after it', () => {
    const {clock, run, suspend, pauses} = start();
    const before = clock.now();
    run(10);
    suspend(AWAY_MS);
    expect(clock.now() - before).toBeGreaterThanOrEqual(AWAY_MS);
    expect(pauses).toEqual([AWAY_MS]);
    expect(clock.pausedAt).toBe(1_010);
  });

  test('counts short suspensions together', () => {
    const {clock, run, suspend} = start();
    const before = clock.now();
    for (let at = 0; at < 100; at += 1) {
      suspend(20);
      run(1);
    }
    expect(clock.now() - before).toBeGreaterThanOrEqual(2_000);
  });

  test('trusts nothing from before a step back, which may hide a suspension', () => {
    const {clock, run, suspend, step} = start();
    const before = clock.now();
    run(10);
    suspend(AWAY_MS);
    step(-2 * AWAY_MS);
    expect(clock.now() - before).toBeGreaterThanOrEqual(AWAY_MS);
  });

  test('takes a step forward for a suspension, once', () => {
    const {clock, run, step} = start();
    const before = clock.now();
    step(2_000);
    expect(clock.now() - before).toBeGreaterThanOrEqual(2_000);
    const after = clock.now();
    run(100);
    expect(clock.now() - after).toBeCloseTo(100, -1);
  });

  test('never goes back', () => {
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
