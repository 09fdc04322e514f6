import {EngineProfile} from '../../protocol/engine_profile';
import {EnginePlanInput} from './engine_plan_input';
import {ModelCounts} from './model_counts';

/**
 * Computes the supply of a model relative to what it needs: its groups for each group that its
 * measured demand keeps busy, or its hosts for its share of the load while the demand is not
 * measured and where urgency decides. The model with the lowest value has the greatest need.
 *
 * @example
 * const supply = computeSupply(model, counts, input);
 */
export function computeSupply(
  model: EngineProfile['models'][number],
  counts: ModelCounts,
  {forecast, needs}: Pick<EnginePlanInput, 'forecast' | 'needs'>,
): number {
  return forecast && !needs
    ? counts.countGroups(model.name) / forecast.computeBusyGroups(model.name)
    : counts.computeHostsPerShare(model);
}
