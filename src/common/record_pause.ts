import {EventRing} from './event_ring';
import {LeaseClock} from './lease_clock';

type Pause = Parameters<
  NonNullable<Parameters<typeof LeaseClock.create>[0]['onPause']>
>[0];

/**
 * Records that this process was suspended or its wall clock was set.
 *
 * @example
 * LeaseClock.create({monotonic, wall, onPause: pause => recordPause(events, 'control', id, pause)});
 */
export function recordPause(
  events: EventRing,
  subject: Parameters<EventRing['record']>[0]['subject'],
  id: string,
  {steppedMs, countedMs}: Pause,
): void {
  events.record({
    type: 'clocks-parted',
    subject,
    id,
    reason:
      steppedMs > 0
        ? 'its machine was suspended, or its time of day was set forward'
        : 'its time of day was set back, which may hide a suspension',
    details: {steppedMs: Math.round(steppedMs), countedMs},
  });
}
