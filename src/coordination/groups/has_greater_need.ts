import {EngineProfile} from '../../protocol/engine_profile';
import {computeSupply} from './compute_supply';
import {EnginePlanInput} from './engine_plan_input';
import {ModelCounts} from './model_counts';

type Model = EngineProfile['models'][number];

/**
 * Checks whether a model has less supply for its need than another, so that a shortage is
 * shared by both.
 *
 * @example
 * const isNeedier = hasGreaterNeed(big, low, counts, input);
 */
export function hasGreaterNeed(
  model: Model,
  other: Model,
  counts: ModelCounts,
  input: EnginePlanInput,
): boolean {
  return (
    computeSupply(model, counts, input) < computeSupply(other, counts, input)
  );
}
