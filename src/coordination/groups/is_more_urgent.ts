import {EnginePlanInput} from './engine_plan_input';

/** Ratio of weights from which a model is more urgent, so that a changing mix of requests does not reorder models. */
const MIN_WEIGHT_RATIO = 2;

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
