import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeBusyGroups} from './compute_busy_groups';

/**
 * Exponent of the utilization. Arrivals are bursty, so some answers are late
 * before the last slot is taken, and almost none at half utilization.
 */
const UTILIZATION_EXPONENT = 8;
/** Fraction of answers that is late when the groups are exactly at capacity. */
const LATE_FRACTION_AT_CAPACITY = 0.6;

/** Divisor for a model without groups: its result is the highest, but finite and comparable. */
const MIN_GROUPS = 0.1;

/** The model, its demand, and the number of groups that share the load. */
interface LateFractionInput {
  readonly profile: EngineProfile;
  readonly model: EngineProfile['models'][number];
  readonly demand: ModelDemand;
  readonly groups: number;
}

/**
 * Estimates the fraction of a model's answers that are late when its load is shared
 * by this many groups. Beyond capacity it exceeds 1, since the backlog also delays
 * later requests.
 *
 * @returns 0 without demand
 * @example
 * const lateFraction = estimateLateFraction({profile, model, demand, groups: 6});
 */
export function estimateLateFraction(input: LateFractionInput): number {
  const {profile, model, demand, groups} = input;
  if (demand.requestsPerSecond <= 0) {
    return 0;
  }
  const needed = computeBusyGroups({profile, model, demand});
  return (
    LATE_FRACTION_AT_CAPACITY *
    (needed / Math.max(groups, MIN_GROUPS)) ** UTILIZATION_EXPONENT
  );
}
