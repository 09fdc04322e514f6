import {EnginePlanInput} from './engine_plan_input';
import {ModelCounts} from './model_counts';

/**
 * Checks whether a model has fewer groups than its measured demand needs; false where
 * urgency does not count.
 *
 * @param counts the groups that serve or will soon serve
 * @example
 * const isShort = isShortOfGroups('b', counts, input);
 */
export function isShortOfGroups(
  model: string,
  counts: ModelCounts,
  {needs}: Pick<EnginePlanInput, 'needs'>,
): boolean {
  const sufficientGroups = needs?.get(model)?.sufficientGroups ?? 0;
  return counts.countGroups(model) < sufficientGroups;
}
