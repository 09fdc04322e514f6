import {describe, expect, test} from 'vitest';
import {ShutdownSchedule} from '../../src/common/shutdown_schedule';

describe('a process that shuts down', () => {
  const create = (timeoutMs = 8_000) => {
    const schedule = ShutdownSchedule.create({
      timeoutMs,
      noticePeriodMs: 2_500,
    });
    schedule.start(1_000);
    return schedule;
  };

  test('accepts requests during the notice period, and none after it', () => {
    const schedule = create();
    expect(schedule.canAccept(1_000, 500)).toBe(true);
    expect(schedule.canAccept(3_499, 500)).toBe(true);
    expect(schedule.canAccept(3_500, 500)).toBe(false);
  });

  test('accepts nothing that could outlast it, judged by the longest recent request', () => {
    const schedule = create();
    // 7,300 ms of 8,000 are left after the margin for final responses.
    expect(schedule.canAccept(1_000, 7_299)).toBe(true);
    expect(schedule.canAccept(1_000, 7_300)).toBe(false);
    expect(schedule.canAccept(2_000, 6_300)).toBe(false);
  });

  test('accepts less with a short timeout, even during the notice period', () => {
    const schedule = create(1_000);
    expect(schedule.canAccept(1_000, 100)).toBe(true);
    expect(schedule.canAccept(1_775, 100)).toBe(false);
    // Requests get seven eighths of a short timeout.
    expect(schedule.isTimeUp(1_874)).toBe(false);
    expect(schedule.isTimeUp(1_875)).toBe(true);
  });

  test('does not restart on a second signal', () => {
    const schedule = create();
    schedule.start(3_000);
    expect(schedule.isNoticePeriodOver(3_500)).toBe(true);
  });
});

test('a process that does not shut down accepts everything', () => {
  const schedule = ShutdownSchedule.create({timeoutMs: 8_000});
  expect(schedule.canAccept(1e9, 1e9)).toBe(true);
  expect(schedule.isTimeUp(1e9)).toBe(false);
  expect(schedule.isNoticePeriodOver(1e9)).toBe(false);
});
