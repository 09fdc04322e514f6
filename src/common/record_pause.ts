import {EventRing} from './event_ring';
import {LeaseClock} from './lease_clock';

type Pause = Parameters<
  NonNullable<Parameters<typeof LeaseClock.create>[0]['onPause']>
>[0];

/**
 * Writes that this process was away, or that its time of day was set.
 *
 * @example
 * LeaseClock.create({steady, wall, onPause: pause => recordPause(events, 'control', id, pause)});
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
