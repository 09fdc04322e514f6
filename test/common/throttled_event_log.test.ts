import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ThrottledEventLog} from '../../src/common/throttled_event_log';

const event = {
  type: 'refused',
  subject: 'control',
  id: 'c',
  reason: 'no lease',
} as const;

test('a burst of one kind is recorded once a second with the number left out, and other kinds are not affected', () => {
  const events = EventRing.create();
  let now = 0;
  const log = ThrottledEventLog.create(events, {now: () => now});

  log.record('a', event);
  log.record('a', event);
  log.record('a', event);
  log.record('b', event);
  now = 1_000;
  log.record('a', event);

  expect(events.listSince(0).map(({details}) => details)).toEqual([
    undefined,
    undefined,
    {leftOut: 2},
  ]);
});
