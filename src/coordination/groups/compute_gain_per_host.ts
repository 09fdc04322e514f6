import {EngineProfile} from '../../protocol/engine_profile';
import {EnginePlanInput} from './engine_plan_input';
import {ModelCounts} from './model_counts';

/** Answers a second for each host; smaller differences are noise of the measured demand. */
const RESOLUTION = 0.1;

/**
 * Computes how many answers a second each host of another group of a model would bring in
 * time, by the measured demand; 0 while that is unknown, and where urgency decides.
 *
 * @example
 * const gain = computeGainPerHost(model, counts, input);
 */
export function computeGainPerHost(
  {name, size}: EngineProfile['models'][number],
  counts: ModelCounts,
  {forecast, needs}: Pick<EnginePlanInput, 'forecast' | 'needs'>,
): number {
  if (!forecast || needs) {
    return 0;
  }
  const gain = forecast.estimateGain(name, counts.countGroups(name)) / size;
  return Math.round(gain / RESOLUTION) * RESOLUTION;
}
