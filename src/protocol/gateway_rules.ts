/** What an operator decides for the gateway: routes, pools, workspaces and limits. */
import {z} from 'zod';
import {EngineProfile} from './engine_profile';

const Milliseconds = z.number().positive();

const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  /** Whether a request may run again: `safe` may, `unsafe` may not, a stream only where it resumes. */
  kind: z.enum(['safe', 'unsafe', 'stream']),
  /** The longest that a request may be held. */
  timeoutMs: Milliseconds,
  /** Time to the whole answer, or to the first event of a stream. */
  objectiveMs: Milliseconds,
  /** The longest pause between two events of a stream that is still in time. */
  pauseObjectiveMs: Milliseconds.optional(),
  /** 0 is the most urgent. */
  priority: z.int().nonnegative(),
  /** Pools by weight; weights need not add up to anything. */
  targets: z
    .array(z.object({pool: z.string(), weight: z.number().nonnegative()}))
    .min(1),
  /** Backend servers that one request may run on. */
  maxAttempts: z.int().positive(),
  /** Needs no key. */
  isAnonymous: z.boolean(),
  /** A broken stream may go on at another backend server. */
  isResumable: z.boolean(),
});

const Pool = z.object({
  name: z.string(),
  /** Connections that one backend server takes from all callers together. */
  maxConnections: z.int().positive(),
  /** Absent for a plain service. */
  engine: EngineProfile.optional(),
});

const GatewayWorkspace = z.object({
  name: z.string(),
  /** SHA-256 of each key, in hex. */
  keyHashes: z.array(z.string()),
  /** Goes before the priority of a route. */
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
  /** Absent when no request needs a key. */
  workspaces: z.array(GatewayWorkspace).optional(),
  limits: CallerLimits,
});
export type GatewayRules = z.infer<typeof GatewayRules>;
