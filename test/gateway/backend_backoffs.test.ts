import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendBackoffs} from '../../src/gateway/limits/backend_backoffs';

const BACKOFF_MS = 3_000;
const YEAR_MS = 365 * 24 * 3_600_000;

function create(random = 0) {
  const clock = {time: 1_000, now: () => clock.time};
  const events = EventRing.create();
  const backoffs = BackendBackoffs.create({
    clock,
    events,
    random: () => random,
  });
  return {clock, backoffs, events};
}

/**
 * Sends requests while the backend server accepts them, without a response to
 * any.
 */
function fill(backoffs: BackendBackoffs) {
  const sent = [];
  while (backoffs.isAvailable('a') && sent.length < 100) {
    sent.push(backoffs.beginRequest('a'));
  }
  return sent;
}

describe('a backend server that asks for a backoff', () => {
  test('gets no requests during the backoff, and others are not affected', () => {
    const {clock, backoffs} = create();
    backoffs.record('a', BACKOFF_MS);
    expect(backoffs.isAvailable('b')).toBe(true);
    clock.time += BACKOFF_MS - 1;
    expect(backoffs.isAvailable('a')).toBe(false);
    expect(backoffs.findAvailableInMs('a')).toBe(1);
    clock.time += 1;
    expect(backoffs.isAvailable('a')).toBe(true);
  });

  test('gets slowly increasing load after the backoff', () => {
    const {clock, backoffs} = create();
    backoffs.record('a', BACKOFF_MS);
    clock.time += BACKOFF_MS;
    const counts = [];
    let sent = fill(backoffs);
    while (sent.length < 100) {
      counts.push(sent.length);
      sent.forEach(end => end?.(true));
      sent = fill(backoffs);
    }
    expect(counts).toEqual([1, 2, 4, 8, 16]);
    expect(backoffs.findAvailableInMs('a')).toBeUndefined();
  });

  test('gets one request after each further backoff', () => {
    const {clock, backoffs} = create();
    backoffs.record('a', BACKOFF_MS);
    for (let round = 0; round < 5; round += 1) {
      clock.time += BACKOFF_MS;
      const sent = fill(backoffs);
      expect(sent.length).toBe(1);
      backoffs.record('a', BACKOFF_MS);
      sent.forEach(end => end?.(false));
      expect(backoffs.isAvailable('a')).toBe(false);
    }
  });

  test('is available again after the maximum, even if it asks for a year', () => {
    const {clock, backoffs} = create();
    backoffs.record('a', YEAR_MS);
    clock.time += 300_000;
    expect(backoffs.isAvailable('a')).toBe(true);
  });

  test('gets the requests of different gateways at different times', () => {
    const early = create(0);
    const late = create(0.99);
    early.backoffs.record('a', BACKOFF_MS);
    late.backoffs.record('a', BACKOFF_MS);
    early.clock.time += BACKOFF_MS;
    late.clock.time += BACKOFF_MS;
    expect([
      early.backoffs.isAvailable('a'),
      late.backoffs.isAvailable('a'),
    ]).toEqual([true, false]);
  });

  test('is forgotten once the control plane no longer lists it, but not during the backoff', () => {
    const {clock, backoffs} = create();
    backoffs.record('a', BACKOFF_MS);
    backoffs.expire(() => false);
    expect(backoffs.isAvailable('a')).toBe(false);
    clock.time += BACKOFF_MS;
    fill(backoffs);
    backoffs.expire(() => false);
    expect(backoffs.isAvailable('a')).toBe(true);
  });
});
