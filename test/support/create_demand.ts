import {EngineProfile} from '../../src/protocol/engine_profile';
import {ModelDemand} from '../../src/protocol/model_demand';

const TOKENS_PER_RESPONSE = 100;
const MS_PER_SECOND = 1_000;

/**
 * Creates the demand that saturates the given number of groups of each model with generated tokens alone.
 *
 * @example
 * const demand = createDemand(profile, new Map([['big', 1.5]]));
 */
export function createDemand(
  profile: EngineProfile,
  groups: ReadonlyMap<string, number>,
): Record<string, ModelDemand> {
  const {stepMs, stepMsPerRequest, slots} = profile;
  return Object.fromEntries(
    profile.models.map(({name, pace}) => {
      const msPerToken = pace * (stepMsPerRequest + stepMs / slots);
      const tokens = ((groups.get(name) ?? 0) * MS_PER_SECOND) / msPerToken;
      const demand = {
        requestsPerSecond: tokens / TOKENS_PER_RESPONSE,
        promptTokensPerSecond: 0,
        answerTokensPerSecond: tokens,
      };
      return [name, demand];
    }),
  );
}
