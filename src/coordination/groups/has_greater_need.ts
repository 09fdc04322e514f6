import {EngineProfile} from '../../protocol/engine_profile';
import {computeGainPerHost} from './compute_gain_per_host';
import {EnginePlanInput} from './engine_plan_input';
import {ModelCounts} from './model_counts';

type Model = EngineProfile['models'][number];

/**
 * Checks whether hosts bring more to one model than to another: answers in time where the
 * demand is measured, otherwise by the hosts that each has relative to its share of the load.
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
  const gain = computeGainPerHost(model, counts, input);
  const otherGain = computeGainPerHost(other, counts, input);
  return gain === otherGain
    ? counts.computeHostsPerShare(model) < counts.computeHostsPerShare(other)
    : gain > otherGain;
}
