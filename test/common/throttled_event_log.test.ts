import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ThrottledEventLog} from '../../src/common/throttled_event_log';

const line = {
  type: 'refused',
  subject: 'control',
  id: 'c',
  reason: 'no lease',
} as const;

test('a storm of one kind leaves a line a second, which counts those left out, and hides no other kind', () => {
  const events = EventRing.create();
  let now = 0;
  const lines = ThrottledEventLog.create(events, {now: () => now});

  lines.record('a', line);
  lines.record('a', line);
  lines.record('a', line);
  lines.record('b', line);
  now = 1_000;
  lines.record('a', line);

  expect(events.listSince(0).map(({details}) => details)).toEqual([
    undefined,
    undefined,
    {leftOut: 2},
  ]);
});
