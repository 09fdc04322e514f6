/**
 * Load: a group of a model is lost, requests that nobody has a place for are refused,
 * and their callers come back once. Told one fixed time each, they came back together
 * and while the load was as it had been.
 */
import {expect, test} from 'vitest';
import {computeRetryAfterMs} from '../../src/gateway/compute_retry_after_ms';
import {SlotForecast} from '../../src/gateway/slot_forecast';

const LEFT_MS = 6_000;
const HONOURED_PART = 1 / 3;
const LATEST_MS = 2_000;
const LINE = 'p m';

/** A place falls free and a request comes, each in its own rhythm, for a second. */
function create(endEveryMs: number, arrivalEveryMs: number) {
  const clock = {time: 0, now: () => clock.time};
  const forecast = SlotForecast.create(clock);
  for (clock.time = 1; clock.time <= 1_000; clock.time += 1) {
    if (clock.time % endEveryMs === 0) {
      forecast.recordSlotFreed(LINE);
    }
    if (clock.time % arrivalEveryMs === 0) {
      forecast.recordArrival(LINE);
    }
  }
  const refuse = (place: {line?: string} = {line: LINE}) =>
    computeRetryAfterMs({
      forecast,
      queue: place.line,
      leftMs: LEFT_MS,
      maxRetryAfterFraction: HONOURED_PART,
      availableInMs: Infinity,
    });
  return {forecast, refuse};
}

test('callers come back one after the other, at the pace at which places are left over', () => {
  const {refuse} = create(100, 200);

  const times = [refuse(), refuse(), refuse()];

  const [first] = times;
  expect(first).toBeGreaterThan(0);
  expect(times[1]).toBeCloseTo(2 * first);
  expect(times[2]).toBeCloseTo(3 * first);
});

test('those who wait in line come first', () => {
  const {forecast, refuse} = create(100, 200);
  const alone = forecast.estimateRetryMs(LINE);
  forecast.joinQueue(LINE, {});

  expect(refuse()).toBeCloseTo(2 * alone);
});

test('callers stay away as long as they would while more come than go', () => {
  const {refuse} = create(200, 100);
  expect([refuse(), refuse()]).toEqual([LATEST_MS, LATEST_MS]);
});

test('nobody is told to come later than it would', () => {
  const {refuse} = create(100, 200);
  const times = Array.from({length: 200}, () => refuse());
  expect(Math.max(...times)).toBe(LATEST_MS);
});

test('callers of a service without a line stay away as long as they would', () => {
  const {refuse} = create(100, 200);
  expect(refuse({})).toBe(LATEST_MS);
});
