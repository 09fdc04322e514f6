import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendBackoffs} from '../../src/gateway/backend_backoffs';

const REST_MS = 3_000;
const YEAR_MS = 365 * 24 * 3_600_000;

function create(random = 0) {
  const clock = {time: 1_000, now: () => clock.time};
  const events = EventRing.create();
  const rests = BackendBackoffs.create({clock, events, random: () => random});
  return {clock, rests, events};
}

/** Requests that are sent as long as it is open, none of them answered. */
function fill(rests: BackendBackoffs) {
  const sent = [];
  while (rests.isAvailable('a') && sent.length < 100) {
    sent.push(rests.beginRequest('a'));
  }
  return sent;
}

describe('a backend server that asks for rest', () => {
  test('gets nothing for so long, and others go on', () => {
    const {clock, rests} = create();
    rests.record('a', REST_MS);
    expect(rests.isAvailable('b')).toBe(true);
    clock.time += REST_MS - 1;
    expect(rests.isAvailable('a')).toBe(false);
    expect(rests.findAvailableInMs('a')).toBe(1);
    clock.time += 1;
    expect(rests.isAvailable('a')).toBe(true);
  });

  test('is not rushed at when it has rested', () => {
    const {clock, rests} = create();
    rests.record('a', REST_MS);
    clock.time += REST_MS;
    const counts = [];
    let sent = fill(rests);
    while (sent.length < 100) {
      counts.push(sent.length);
      sent.forEach(end => end?.(true));
      sent = fill(rests);
    }
    expect(counts).toEqual([1, 2, 4, 8, 16]);
    expect(rests.findAvailableInMs('a')).toBeUndefined();
  });

  test('gets one request each time that it asks again', () => {
    const {clock, rests} = create();
    rests.record('a', REST_MS);
    for (let round = 0; round < 5; round += 1) {
      clock.time += REST_MS;
      const sent = fill(rests);
      expect(sent.length).toBe(1);
      rests.record('a', REST_MS);
      sent.forEach(end => end?.(false));
      expect(rests.isAvailable('a')).toBe(false);
    }
  });

  test('is not kept from all work by a wish for a year', () => {
    const {clock, rests} = create();
    rests.record('a', YEAR_MS);
    clock.time += 300_000;
    expect(rests.isAvailable('a')).toBe(true);
  });

  test('is not visited by all gateways at the same moment again', () => {
    const early = create(0);
    const late = create(0.99);
    early.rests.record('a', REST_MS);
    late.rests.record('a', REST_MS);
    early.clock.time += REST_MS;
    late.clock.time += REST_MS;
    expect([early.rests.isAvailable('a'), late.rests.isAvailable('a')]).toEqual(
      [true, false],
    );
  });

  test('is forgotten once control no longer tells it, not before it has rested', () => {
    const {clock, rests} = create();
    rests.record('a', REST_MS);
    rests.expire(() => false);
    expect(rests.isAvailable('a')).toBe(false);
    clock.time += REST_MS;
    fill(rests);
    rests.expire(() => false);
    expect(rests.isAvailable('a')).toBe(true);
  });
});
