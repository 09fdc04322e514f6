import {EngineProfile} from '../../protocol/engine_profile';
import {EnginePlanInput} from './engine_plan_input';
import {ModelCounts} from './model_counts';

/**
 * Checks whether a model has fewer groups than its share of the hosts.
 *
 * @example
 * const isBelow = isBelowDesired(model, input, counts);
 */
export function isBelowDesired(
  {name}: EngineProfile['models'][number],
  {desiredGroups}: Pick<EnginePlanInput, 'desiredGroups'>,
  counts: ModelCounts,
): boolean {
  return counts.countGroups(name) < (desiredGroups.get(name) ?? 0);
}
