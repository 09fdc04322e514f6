/** Configuration of the gateways: routes, pools, workspaces and limits. */
import {z} from 'zod';
import {EngineProfile} from './engine_profile';

const Milliseconds = z.number().positive();

const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  /** Retry semantics: `safe` requests may run again, `unsafe` ones may not, a `stream` only if it is resumable. */
  kind: z.enum(['safe', 'unsafe', 'stream']),
  /** Time limit of a request. */
  timeoutMs: Milliseconds,
  /** Latency objective for the whole response, or for the first event of a stream. */
  objectiveMs: Milliseconds,
  /** Objective for the longest pause between two events of a stream. */
  pauseObjectiveMs: Milliseconds.optional(),
  /** 0 is the most urgent. */
  priority: z.int().nonnegative(),
  /** Pools with relative weights, which need not add up to 1. */
  targets: z
    .array(z.object({pool: z.string(), weight: z.number().nonnegative()}))
    .min(1),
  /** Number of backend servers that one request may be tried on. */
  maxAttempts: z.int().positive(),
  /** The route requires no API key. */
  isAnonymous: z.boolean(),
  /** An interrupted stream may be resumed on another backend server. */
  isResumable: z.boolean(),
});

const Pool = z.object({
  name: z.string(),
  /** Limit on connections to one backend server, over all callers. */
  maxConnections: z.int().positive(),
  /** Absent for a plain service. */
  engine: EngineProfile.optional(),
  /** Requests that a cold backend server takes in any second, from all gateways together; absent or 0 for no limit. */
  coldRequestsPerSecond: z.number().nonnegative().optional(),
  /** Time for which a backend server is cold after its start, in milliseconds. */
  coldStartMs: z.number().nonnegative().optional(),
});

const GatewayWorkspace = z.object({
  name: z.string(),
  /** SHA-256 of each API key, in hex. */
  keyHashes: z.array(z.string()),
  /** Overrides the priority of the route. */
  priority: z.int().nonnegative().optional(),
});

const CallerLimits = z.object({
  maxHeaderBytes: z.int().positive(),
  maxBodyBytes: z.int().positive(),
  headerTimeoutMs: Milliseconds,
  idleTimeoutMs: Milliseconds,
});

export const GatewayRules = z.object({
  version: z.int().nonnegative(),
  routes: z.array(Route),
  pools: z.array(Pool),
  /** Absent when no route requires an API key. */
  workspaces: z.array(GatewayWorkspace).optional(),
  limits: CallerLimits,
});
export type GatewayRules = z.infer<typeof GatewayRules>;
