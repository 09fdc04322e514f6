/** Performance model of the engines of one pool, and the models that they can load. */
import {z} from 'zod';

const Milliseconds = z.number().nonnegative();

const EngineModel = z.object({
  name: z.string(),
  /** Number of hosts in one replica. */
  size: z.int().positive(),
  /** Factor on all engine times while it runs this model. */
  pace: z.number().positive(),
  /** Fraction of the load that was for this model when the bundle was created, 0 to 1. */
  share: z.number().nonnegative(),
  /** Load time from the weight store without concurrent loads. */
  loadMs: Milliseconds,
  /** Load time from the host's own copy. */
  warmMs: Milliseconds,
});

export const EngineProfile = z.object({
  models: z.array(EngineModel),
  /** Number of requests that one replica runs concurrently. */
  slots: z.int().positive(),
  /** Capacity of the KV cache of one replica, in tokens. */
  contextTokens: z.number().positive(),
  /** Time of one decode step, which generates one token for each request. */
  stepMs: Milliseconds,
  /** Time that each decoding request adds to a step. */
  stepMsPerRequest: Milliseconds,
  /** Prefill throughput. */
  promptTokensPerSecond: z.number().positive(),
  /** Largest prefill chunk in one step. */
  promptChunkTokens: z.int().positive(),
  /** Decode steps between two events of a stream. */
  stepsPerEvent: z.int().positive(),
  /** Rate limit on starting loads, over the whole pool. */
  loadsPerSecond: z.number().positive(),
  /** Number of concurrent loads at which they do not yet slow each other down. */
  concurrentLoads: z.int().positive(),
  /** Number of models whose weights a host keeps in addition to the loaded one. */
  keptModels: z.int().nonnegative(),
  /** Factor on all times of a replica whose hosts are in several fabric domains; 1 if absent. */
  crossDomainSlowdown: z.number().min(1).optional(),
  /** Time from the `open` order until the replica serves. */
  openMs: Milliseconds,
});
export type EngineProfile = z.infer<typeof EngineProfile>;
