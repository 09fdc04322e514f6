/**
 * Guards against retries that arrive together: after the loss of a group,
 * refused callers all got the same fixed delay, so they came back at the
 * same time and while the load was as high as before.
 */
import {expect, test} from 'vitest';
import {computeRetryAfterMs} from '../../src/gateway/scheduling/compute_retry_after_ms';
import {SlotForecast} from '../../src/gateway/scheduling/slot_forecast';

const LEFT_MS = 6_000;
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const LONGEST_MS = 2_000;
const QUEUE = 'p m';

/** For one second, slots are freed and requests arrive at fixed intervals. */
function create(freedIntervalMs: number, arrivalIntervalMs: number) {
  const clock = {time: 0, now: () => clock.time};
  const forecast = SlotForecast.create(clock);
  for (clock.time = 1; clock.time <= 1_000; clock.time += 1) {
    if (clock.time % freedIntervalMs === 0) {
      forecast.recordSlotFreed(QUEUE);
    }
    if (clock.time % arrivalIntervalMs === 0) {
      forecast.recordArrival(QUEUE);
    }
  }
  const refuse = (options: {queue?: string} = {queue: QUEUE}) =>
    computeRetryAfterMs({
      forecast,
      queue: options.queue,
      leftMs: LEFT_MS,
      maxRetryAfterFraction: MAX_RETRY_AFTER_FRACTION,
      availableInMs: Infinity,
    });
  return {forecast, refuse};
}

test('callers are told to retry one after the other, at the rate of spare slots', () => {
  const {refuse} = create(100, 200);

  const times = [refuse(), refuse(), refuse()];

  const [first] = times;
  expect(first).toBeGreaterThan(0);
  expect(times[1]).toBeCloseTo(2 * first);
  expect(times[2]).toBeCloseTo(3 * first);
});

test('queued requests come first', () => {
  const {forecast, refuse} = create(100, 200);
  const alone = forecast.estimateRetryMs(QUEUE);
  forecast.joinQueue(QUEUE, {});

  expect(refuse()).toBeCloseTo(2 * alone);
});

test('callers get the longest delay while arrivals exceed freed slots', () => {
  const {refuse} = create(200, 100);
  expect([refuse(), refuse()]).toEqual([LONGEST_MS, LONGEST_MS]);
});

test('no delay is longer than callers honor', () => {
  const {refuse} = create(100, 200);
  const times = Array.from({length: 200}, () => refuse());
  expect(Math.max(...times)).toBe(LONGEST_MS);
});

test('callers of a service without a queue get the longest delay', () => {
  const {refuse} = create(100, 200);
  expect(refuse({})).toBe(LONGEST_MS);
});
