import {ModelDemand} from '../protocol/model_demand';

/**
 * Adds the demand of one gateway's callers to a sum.
 *
 * @param sum undefined before the first part
 * @example
 * sums[model] = addDemand(sums[model], part);
 */
export function addDemand(
  sum: ModelDemand | undefined,
  part: ModelDemand,
): ModelDemand {
  return {
    requestsPerSecond: (sum?.requestsPerSecond ?? 0) + part.requestsPerSecond,
    promptTokensPerSecond:
      (sum?.promptTokensPerSecond ?? 0) + part.promptTokensPerSecond,
    answerTokensPerSecond:
      (sum?.answerTokensPerSecond ?? 0) + part.answerTokensPerSecond,
  };
}
