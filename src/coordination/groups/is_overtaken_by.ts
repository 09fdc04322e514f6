import {EnginePlanInput} from './engine_plan_input';
import {isMoreUrgent} from './is_more_urgent';
import {isShortOfGroups} from './is_short_of_groups';
import {ModelCounts} from './model_counts';

/**
 * Checks whether another model is more urgent and lacks groups for its measured demand.
 *
 * @example
 * const isOvertaken = isOvertakenBy('b', 'a', counts, input);
 */
export function isOvertakenBy(
  other: string,
  model: string,
  counts: ModelCounts,
  input: EnginePlanInput,
): boolean {
  return (
    input.policy?.restoresByUrgency !== false &&
    isMoreUrgent(other, model, input) &&
    isShortOfGroups(other, counts, input)
  );
}
