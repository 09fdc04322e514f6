import {EnginePlanInput} from './engine_plan_input';
import {MIN_WEIGHT_RATIO} from './min_weight_ratio';

/**
 * Checks whether a model's requests are clearly more urgent than another's; false
 * where urgency does not count.
 *
 * @example
 * const goesFirst = isMoreUrgent('b', 'a', input);
 */
export function isMoreUrgent(
  model: string,
  other: string,
  {needs}: Pick<EnginePlanInput, 'needs'>,
): boolean {
  const weight = needs?.get(model)?.weight ?? 0;
  const otherWeight = needs?.get(other)?.weight ?? 0;
  return weight > 0 && weight >= MIN_WEIGHT_RATIO * otherWeight;
}
