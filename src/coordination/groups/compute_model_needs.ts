import {getOwn} from '../../common/get_own';
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeBusyGroups} from './compute_busy_groups';
import {estimateLateFraction} from './estimate_late_fraction';
import {MIN_WEIGHT_RATIO} from './min_weight_ratio';
import {ModelNeed} from './model_need';

/** Fraction of late answers up to which a model has enough groups. */
const ACCEPTED_LATE_FRACTION = 0.1;
/** More groups than any pool has; bounds the search when a gateway reports an absurd demand. */
const MAX_GROUPS = 10_000;

/** The models of a pool, their demand, and the weight of a request of each. */
interface ModelNeedsInput {
  readonly profile: EngineProfile;
  readonly demand: Readonly<Record<string, ModelDemand>>;
  /** Weight of a request by model; undefined where urgency does not count. */
  readonly weights: ReadonlyMap<string, number> | undefined;
}

/**
 * Computes the groups that each model needs for its measured demand; undefined where
 * urgency does not count or does not differ clearly among the models, so that the planner compares models by their shares alone.
 *
 * @example
 * const needs = computeModelNeeds({profile, demand, weights});
 */
export function computeModelNeeds({
  profile,
  demand,
  weights,
}: ModelNeedsInput): Map<string, ModelNeed> | undefined {
  if (!weights || !hasClearDifference(weights)) {
    return undefined;
  }
  return new Map(
    profile.models.flatMap(model => {
      const {name} = model;
      const modelDemand = getOwn(demand, name);
      const weight = weights.get(name) ?? 1;
      if (!modelDemand) {
        return [[name, {weight, busyGroups: 0, sufficientGroups: 0}]];
      }
      const busyGroups = Math.min(
        Math.ceil(computeBusyGroups({profile, model, demand: modelDemand})),
        MAX_GROUPS,
      );
      let sufficientGroups = busyGroups;
      while (
        sufficientGroups < MAX_GROUPS &&
        estimateLateFraction({
          profile,
          model,
          demand: modelDemand,
          groups: sufficientGroups,
        }) > ACCEPTED_LATE_FRACTION
      ) {
        sufficientGroups += 1;
      }
      return [[name, {weight, busyGroups, sufficientGroups}]];
    }),
  );
}

/** False where the requests of all models are about equally urgent, for example since urgency depends on the workspace. */
function hasClearDifference(weights: ReadonlyMap<string, number>): boolean {
  const values = [...weights.values()];
  return Math.max(...values) >= MIN_WEIGHT_RATIO * Math.min(...values);
}
