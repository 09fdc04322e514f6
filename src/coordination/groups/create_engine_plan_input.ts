import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeDesiredGroups} from './compute_desired_groups';
import {computeModelNeeds} from './compute_model_needs';
import {DemandForecast} from './demand_forecast';
import {dropEvacuated} from './drop_evacuated';
import {ShareAdjuster} from './share_adjuster';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {planRebalance} from './plan_rebalance';

/** The planner's input before demand is applied, and the demand. */
interface DemandOptions {
  readonly adjuster: ShareAdjuster;
  /** With the configured shares. */
  readonly input: Omit<EnginePlanInput, 'desiredGroups'>;
  /** Number of healthy engines in each fabric domain. */
  readonly domains: readonly number[];
  readonly demand: Readonly<Record<string, ModelDemand>>;
  /** Weight of a request by model; absent where urgency does not count. */
  readonly weights?: ReadonlyMap<string, number>;
}

/**
 * Creates the planner's input with model shares adjusted to demand, and returns the
 * change of shares that was just made, if any.
 *
 * @example
 * const {input, shifted} = createEnginePlanInput({adjuster, input, domains, demand});
 */
export function createEnginePlanInput({
  adjuster,
  input,
  domains,
  demand,
  weights,
}: DemandOptions) {
  const needs = computeModelNeeds({profile: input.profile, demand, weights});
  const forecast = DemandForecast.create({profile: input.profile, demand});
  const isSplitByUrgency = input.policy?.splitsByUrgency !== false;
  const applyShares = (profile: EngineProfile): EnginePlanInput => ({
    ...input,
    profile,
    needs,
    forecast,
    desiredGroups: computeDesiredGroups(profile, domains),
  });
  const counts = ModelCounts.createWithHeld(dropEvacuated(input));
  const {profile, shifted, recipientModel} = adjuster.update({
    profile: input.profile,
    domains,
    demand,
    // Without needs urgency does not differ clearly, and the shares are split as without it.
    weights: needs && isSplitByUrgency ? weights : undefined,
    now: input.now,
    countGroups: model => counts.countGroups(model),
    canRebalance: (changed, model) =>
      planRebalance(
        dropEvacuated({...applyShares(changed), recipientModel: model}),
      ).length > 0,
  });
  return {input: {...applyShares(profile), recipientModel}, shifted};
}
