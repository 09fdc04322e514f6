import {ModelDemand} from '../protocol/model_demand';

/**
 * Adds the demand that one gateway reports for a model to that of others.
 *
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
