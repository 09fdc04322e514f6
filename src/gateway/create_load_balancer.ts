import {EventRing} from '../common/event_ring';
import {systemClock} from '../common/system_clock';
import {LoadBalancer} from './routing/load_balancer';
import {TargetAvailability} from './routing/target_availability';
import {ZoneGuard} from './routing/zone_guard';

interface LoadBalancerSource {
  /** Zone of this gateway. */
  readonly zone: string;
  readonly events: EventRing;
  /** Tells control at once that a target stalled or closed. */
  readonly reportNow: () => void;
  /** What backend servers signal about themselves. */
  readonly availability: TargetAvailability;
  /** What control says about availability zones. */
  readonly zones: Parameters<typeof ZoneGuard.create>[0];
}

/**
 * Creates the load balancer of a gateway, without targets.
 *
 * @example
 * const balancer = createLoadBalancer({zone, events, reportNow, availability, zones});
 */
export function createLoadBalancer(source: LoadBalancerSource): LoadBalancer {
  const {zone, events, reportNow} = source;
  return LoadBalancer.create(
    zone,
    systemClock,
    Math.random,
    reportNow,
    {...source.availability, zones: ZoneGuard.create(source.zones)},
    events,
  );
}
