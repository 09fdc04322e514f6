import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeDesiredGroups} from './compute_desired_groups';
import {ShareAdjuster} from './share_adjuster';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {planRebalance} from './plan_rebalance';

/** What hosts are split by. */
interface SplitOptions {
  readonly adjuster: ShareAdjuster;
  /** As configured. */
  readonly input: Omit<EnginePlanInput, 'usual'>;
  /** Engines that are well, counted by fabric domain. */
  readonly domains: readonly number[];
  readonly demand: Readonly<Record<string, ModelDemand>>;
}

/**
 * Makes the input of a plan whose shares follow what callers ask for, and tells what
 * was changed in them just now.
 *
 * @example
 * const {input, shifted} = splitHosts({follower, input, domains, demand});
 */
export function createEnginePlanInput({
  adjuster: follower,
  input,
  domains,
  demand,
}: SplitOptions) {
  const apply = (profile: EngineProfile): EnginePlanInput => ({
    ...input,
    profile,
    usual: computeDesiredGroups(profile, domains),
  });
  const counts = ModelCounts.createWithHeld(input);
  const {
    profile,
    shifted,
    recipientModel: movesTo,
  } = follower.update({
    profile: input.profile,
    domains,
    demand,
    now: input.now,
    countGroups: model => counts.countGroups(model),
    canRebalance: (changed, model) =>
      planRebalance({...apply(changed), recipientModel: model}).length > 0,
  });
  return {input: {...apply(profile), movesTo}, shifted};
}
