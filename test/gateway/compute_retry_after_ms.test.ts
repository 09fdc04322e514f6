/**
 * Guards against retries that arrive together: after the loss of a group,
 * refused callers all got the same fixed delay, so they came back at the
 * same time and while the load was as high as before.
 */
import {expect, test} from 'vitest';
import {computeRetryAfterMs} from '../../src/gateway/scheduling/compute_retry_after_ms';
import {SlotQueue} from '../../src/gateway/scheduling/slot_queue';
import {createQueuedRequest} from '../support/create_queued_request';
import {ENGINE_PROFILE} from '../support/engine_profile';

const LEFT_MS = 6_000;
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const LONGEST_MS = 2_000;
const RUNNING = 9;
const SLOT_MS = 1_000;

/** Requests of one gateway take 1 s each; others arrive at fixed intervals for a while. */
function create(arrivalIntervalMs: number) {
  const clock = {time: 0, now: () => clock.time};
  const queue = SlotQueue.create(
    {clock, pool: 'p', model: 'm'},
    ENGINE_PROFILE,
  );
  const first = {};
  queue.recordStart(first, 'i');
  clock.time = SLOT_MS;
  queue.recordEnd(first, 1);
  for (let count = 0; count < RUNNING; count += 1) {
    queue.recordStart({}, 'i');
  }
  for (; clock.time <= 20_000; clock.time += 1) {
    if (clock.time % arrivalIntervalMs === 0) {
      queue.recordArrival(0);
    }
  }
  const refuse = (options: {queue?: SlotQueue} = {queue}) =>
    computeRetryAfterMs({
      queue: options.queue,
      urgency: 0,
      leftMs: LEFT_MS,
      maxRetryAfterFraction: MAX_RETRY_AFTER_FRACTION,
      availableInMs: Infinity,
    });
  return {queue, refuse};
}

test('callers are told to retry one after the other, at the rate of spare slots', () => {
  const {refuse} = create(200);

  const times = [refuse(), refuse(), refuse()];

  const [first] = times;
  expect(first).toBeGreaterThan(0);
  expect(times[1]).toBeCloseTo(2 * first);
  expect(times[2]).toBeCloseTo(3 * first);
});

test('queued requests come first', () => {
  const {queue, refuse} = create(200);
  const alone = queue.estimateRetryMs(0);
  queue.join(createQueuedRequest());

  expect(refuse()).toBeCloseTo(2 * alone);
});

test('callers get the longest delay while arrivals exceed freed slots', () => {
  const {refuse} = create(50);
  expect([refuse(), refuse()]).toEqual([LONGEST_MS, LONGEST_MS]);
});

test('no delay is longer than callers honor', () => {
  const {refuse} = create(200);
  const times = Array.from({length: 200}, () => refuse());
  expect(Math.max(...times)).toBe(LONGEST_MS);
});

test('callers of a service without a queue get the longest delay', () => {
  const {refuse} = create(200);
  expect(refuse({})).toBe(LONGEST_MS);
});
