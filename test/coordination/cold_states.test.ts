import {describe, expect, test} from 'vitest';
import {ColdStates} from '../../src/coordination/limits/cold_states';

const NAME = 'b1@1';

function create() {
  const states = ColdStates.create();
  const record = (
    at: number,
    forMs: number,
    more: {now?: number; needsRegistration?: boolean; isRegistration?: boolean},
  ) => {
    const {now = at} = more;
    const until = now + forMs;
    return states.record({incarnation: NAME, until, at, now, ...more});
  };
  return {states, record};
}

describe('the state of a cold server', () => {
  // Guards against one message to all gateways for each registration and answer.
  test('does not change while a countdown with jitter goes on', () => {
    const {record} = create();
    expect(record(0, 9_000, {})).toBe('cold');
    for (let at = 100; at < 8_000; at += 100) {
      const jitter = (at % 300) - 150;
      expect(record(at, 9_000 - at + jitter, {})).toBeUndefined();
    }
  });

  // Guards against a server that counts as warm before it is.
  test('is extended at once when the server says that it stays cold longer', () => {
    const {states, record} = create();
    record(0, 1_000, {});
    expect(record(500, 5_000, {})).toBe('changed');
    expect(states.isCold(NAME, 5_499)).toBe(true);
  });

  // Guards against updates that pass each other on their ways.
  test('is not changed by an older report', () => {
    const {states, record} = create();
    record(1_000, 9_000, {});
    expect(record(900, 0, {now: 1_100})).toBeUndefined();
    expect(states.isCold(NAME, 1_100)).toBe(true);
    expect(record(1_200, 0, {})).toBe('warm');
    expect(record(1_150, 9_000, {now: 1_300})).toBeUndefined();
    expect(states.isCold(NAME, 1_300)).toBe(false);
  });

  // Guards against a restored zone whose servers an answer makes warm early.
  test('of a restored zone is ended by a registration only', () => {
    const {states, record} = create();
    record(0, 30_000, {needsRegistration: true});
    expect(record(100, 0, {})).toBeUndefined();
    expect(record(150, 40_000, {})).toBe('changed');
    expect(record(200, 0, {})).toBeUndefined();
    expect(states.isCold(NAME, 200)).toBe(true);
    expect(record(300, 0, {isRegistration: true})).toBe('warm');
  });

  test('is reported to another process, and an assumption is not', () => {
    const {states, record} = create();
    record(-Infinity, 4_000, {now: 0});
    expect(states.describe([NAME], 0)).toEqual([]);
    record(1_000, 4_000, {});
    expect(states.describe([NAME], 2_000)).toEqual([
      {incarnation: NAME, coldForMs: 3_250, msAgo: 1_000},
    ]);
  });

  test('is listed once when its time is over, and forgotten later', () => {
    const {states, record} = create();
    record(0, 1_000, {});
    expect(states.expire(1_000, 0)).toEqual([]);
    expect(states.expire(2_000, 1_000)).toEqual([NAME]);
    expect(states.expire(3_000, 2_000)).toEqual([]);
    states.expire(20_000, 3_000);
    expect(states.list()).toEqual([]);
  });
});
