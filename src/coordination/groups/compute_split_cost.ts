import {getOwn} from '../../common/get_own';
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {estimateLateFraction} from './estimate_late_fraction';

/** Fraction of time for which a model is assumed to lack one group, so that splits allow for the next loss. */
const GROUP_DOWN_FRACTION = 0.1;
/** The same for the groups of one fabric domain; it counts only where urgency does. */
const DOMAIN_DOWN_FRACTION = 0.1;

/** A split of the hosts, and the demand that it has to serve. */
interface SplitCostInput {
  readonly profile: EngineProfile;
  readonly demand: Readonly<Record<string, ModelDemand>>;
  /** Groups of each model. */
  readonly counts: ReadonlyMap<string, number>;
  /** Number of fabric domains. */
  readonly domainCount: number;
  /** Weight of a request by model; undefined where urgency does not count. */
  readonly weights: ReadonlyMap<string, number> | undefined;
}

/**
 * Computes how many answers a second are late with a split of the hosts: with all
 * groups, with one group down and, where urgency counts, with one domain down and
 * weighted by urgency.
 *
 * @example
 * const latePerSecond = computeSplitCost({profile, demand, counts, domainCount: 3, weights});
 */
export function computeSplitCost({
  profile,
  demand: demandByModel,
  counts,
  domainCount,
  weights,
}: SplitCostInput): number {
  return profile.models.reduce((sum, model) => {
    const demand = getOwn(demandByModel, model.name);
    const groups = counts.get(model.name) ?? 0;
    if (!demand) {
      return sum;
    }
    const computeLate = (left: number) =>
      estimateLateFraction({profile, model, demand, groups: left});
    // What is lost is down for seconds only: its answers are late, but no backlog builds up.
    const computeLateWhileDown = (left: number) =>
      Math.min(1, computeLate(left));
    const domainFraction = weights ? DOMAIN_DOWN_FRACTION : 0;
    const groupsOfDomain = Math.ceil(groups / Math.max(1, domainCount));
    const lateFraction =
      computeLate(groups) * (1 - GROUP_DOWN_FRACTION - domainFraction) +
      computeLateWhileDown(groups - 1) * GROUP_DOWN_FRACTION +
      (weights
        ? computeLateWhileDown(groups - groupsOfDomain) * domainFraction
        : 0);
    const weight = weights?.get(model.name) ?? 1;
    return sum + lateFraction * demand.requestsPerSecond * weight;
  }, 0);
}
