import {describe, expect, test} from 'vitest';
import {checkDispatch} from '../../src/coordination/requests/check_dispatch';
import {AttemptTracker} from '../../src/coordination/requests/attempt_tracker';
import {Group} from '../../src/protocol/group';

const group: Group = {
  id: 'g',
  epoch: 4,
  fencing: 1,
  kind: 'model',
  name: 'm',
  domain: 'd',
  zone: 'z',
  members: [
    {hostId: 'h1', incarnation: 'i', address: ''},
    {hostId: 'h2', incarnation: 'i', address: ''},
  ],
  isDraining: false,
};
const context = {
  hostId: 'h1',
  incarnation: 'i',
  group,
  missingMembers: [],
  hasBundleLease: true,
  hasBackend: true,
  isLeaving: false,
  now: 1_000,
};
const dispatch = {
  type: 'dispatch' as const,
  stream: 1,
  attemptId: 'r.1',
  groupId: 'g',
  epoch: 4,
  incarnation: 'i',
  startBy: 1_000,
  credit: 1,
  method: 'POST',
  path: '/',
  headers: {},
  body: new Uint8Array(),
  isRepeatable: true,
  priority: 5,
};

describe('checkDispatch', () => {
  test('accepts a valid dispatch up to its start-by time', () => {
    expect(checkDispatch(context, dispatch)).toBeUndefined();
  });

  test.each([
    [{now: 1_000.5}, {}, 'the request came after its start-by time'],
    [{incarnation: 'other'}, {}, 'the host process restarted'],
    [{}, {epoch: 3}, 'the host is not in that group and epoch'],
    [{group: undefined}, {}, 'the host is not in that group and epoch'],
    [{hostId: 'h2'}, {}, 'the host is not the first member'],
    [
      {group: {...group, isDraining: true}},
      {},
      'the group takes no new work: it is leaving',
    ],
    [{isLeaving: true}, {}, 'the group takes no new work: it is leaving'],
    [{hasBundleLease: false}, {}, 'control did not confirm the bundle in time'],
    [{missingMembers: ['h2']}, {}, 'members are missing: h2'],
    [{hasBackend: false}, {}, 'no backend server is announced'],
  ])('refuses a dispatch with the reason (%#)', (changes, fields, reason) => {
    expect(
      checkDispatch({...context, ...changes}, {...dispatch, ...fields}),
    ).toBe(reason);
  });
});

describe('AttemptTracker', () => {
  test('starts an attempt only once', () => {
    const tracker = AttemptTracker.create();

    expect(tracker.start('r.1', 0)).toBe(true);
    expect(tracker.start('r.1', 1)).toBe(false);
  });

  test('does not start an attempt with a tombstone, and keeps the state of one that started', () => {
    const tracker = AttemptTracker.create();
    tracker.start('r.1', 0);
    tracker.end('r.1', 'answered');

    expect(tracker.recordTombstone('r.1', 1)).toEqual({
      status: 'ended',
      outcome: 'answered',
    });
    expect(tracker.recordTombstone('r.2', 1)).toEqual({
      status: 'never-started',
    });
    expect(tracker.start('r.2', 2)).toBe(false);
  });
});
