/** The engines of the deployment that docs/design/contention.md describes. */
import {EngineProfile} from '../../src/protocol/engine_profile';

export const ENGINE_PROFILE: EngineProfile = {
  models: [
    {name: 'm', size: 4, pace: 1, share: 1, loadMs: 14_000, warmMs: 1_400},
  ],
  slots: 34,
  contextTokens: 200_000,
  stepMs: 6.07,
  stepMsPerRequest: 0.34,
  promptTokensPerSecond: 46_000,
  promptChunkTokens: 2_048,
  stepsPerEvent: 4,
  loadsPerSecond: 2,
  concurrentLoads: 2,
  keptModels: 1,
  openMs: 100,
};
