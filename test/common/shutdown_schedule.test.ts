import {describe, expect, test} from 'vitest';
import {ShutdownSchedule} from '../../src/common/shutdown_schedule';

describe('a process that was told to stop', () => {
  const create = (withinMs = 8_000) => {
    const schedule = ShutdownSchedule.create({
      timeoutMs: withinMs,
      noticePeriodMs: 2_500,
    });
    schedule.start(1_000);
    return schedule;
  };

  test('takes work until callers have noticed, and none after that', () => {
    const schedule = create();
    expect(schedule.canAccept(1_000, 500)).toBe(true);
    expect(schedule.canAccept(3_499, 500)).toBe(true);
    expect(schedule.canAccept(3_500, 500)).toBe(false);
  });

  test('takes nothing that could outlast it, by what such work took lately', () => {
    const schedule = create();
    // 7,300 ms are left of 8,000, and the longest must fit.
    expect(schedule.canAccept(1_000, 7_299)).toBe(true);
    expect(schedule.canAccept(1_000, 7_300)).toBe(false);
    expect(schedule.canAccept(2_000, 6_300)).toBe(false);
  });

  test('with little time takes less, whatever callers have noticed', () => {
    const schedule = create(1_000);
    expect(schedule.canAccept(1_000, 100)).toBe(true);
    expect(schedule.canAccept(1_775, 100)).toBe(false);
    // Work has seven eighths of a short stop.
    expect(schedule.isTimeUp(1_874)).toBe(false);
    expect(schedule.isTimeUp(1_875)).toBe(true);
  });

  test('does not begin anew with a second signal', () => {
    const schedule = create();
    schedule.start(3_000);
    expect(schedule.isNoticePeriodOver(3_500)).toBe(true);
  });
});

test('a process that was not told to stop takes everything', () => {
  const schedule = ShutdownSchedule.create({timeoutMs: 8_000});
  expect(schedule.canAccept(1e9, 1e9)).toBe(true);
  expect(schedule.isTimeUp(1e9)).toBe(false);
  expect(schedule.isNoticePeriodOver(1e9)).toBe(false);
});
