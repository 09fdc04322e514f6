/** How fast the engines of one pool are, and which models they can load. */
import {z} from 'zod';

const Milliseconds = z.number().nonnegative();

const EngineModel = z.object({
  name: z.string(),
  /** Hosts that form one replica of it. */
  size: z.int().positive(),
  /** Factor on all times of the engine while it runs this model. */
  pace: z.number().positive(),
  /** Part of the work that was for this model when the bundle was made, 0 to 1. */
  share: z.number().nonnegative(),
  /** From the weight store, with nobody else loading. */
  loadMs: Milliseconds,
  /** From the host's own copy. */
  warmMs: Milliseconds,
});

export const EngineProfile = z.object({
  models: z.array(EngineModel),
  /** Requests that one replica runs at once. */
  slots: z.int().positive(),
  /** Tokens of context that one replica has memory for. */
  contextTokens: z.number().positive(),
  /** One pass that writes one token for each request. */
  stepMs: Milliseconds,
  /** What each writing request adds to a pass. */
  stepMsPerRequest: Milliseconds,
  /** Prompt tokens read in a second. */
  promptTokensPerSecond: z.number().positive(),
  /** Prompt tokens that one pass reads at most. */
  promptChunkTokens: z.int().positive(),
  /** Passes between two events of a stream. */
  stepsPerEvent: z.int().positive(),
  /** Loads that may begin each second, over the whole pool. */
  loadsPerSecond: z.number().positive(),
  /** Loads that run side by side before they slow each other down. */
  concurrentLoads: z.int().positive(),
  /** Models whose weights a host keeps beside the one in memory. */
  keptModels: z.int().nonnegative(),
  /** From the order to open until the replica serves. */
  openMs: Milliseconds,
});
export type EngineProfile = z.infer<typeof EngineProfile>;
