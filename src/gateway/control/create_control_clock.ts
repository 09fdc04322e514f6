import {EventRing} from '../../common/event_ring';
import {LeaseClock} from '../../common/lease_clock';
import {recordPause} from '../../common/record_pause';
import {systemClock} from '../../common/system_clock';

/**
 * Creates the clock by which a gateway tells how old a confirmation of the rules is.
 * It counts time for which the machine was suspended, since a key that was revoked
 * meanwhile must not be accepted.
 *
 * @param onPause called after a pause, when the rules no longer count as confirmed
 * @example
 * const clock = createControlClock(events, gatewayId, () => poller.reportNow());
 */
export function createControlClock(
  events: EventRing,
  gatewayId: string,
  onPause: () => void,
): LeaseClock {
  return LeaseClock.create({
    monotonic: systemClock,
    wall: () => Date.now(),
    onPause: pause => {
      recordPause(events, 'control', gatewayId, pause);
      setImmediate(onPause);
    },
  });
}
