/** Periodic registration of one start of a backend server. */
import {z} from 'zod';

const MAX_NAME_LENGTH = 200;

const GroupMembership = z.object({
  name: z.string(),
  epoch: z.int(),
  /** 0 is the head, which receives the requests of the group. */
  rank: z.int().nonnegative(),
  state: z.enum(['joining', 'ready', 'open', 'closing', 'broken']),
});

export const BackendRegistration = z.object({
  /** Unique to each start of the server. */
  incarnation: z.string().min(1).max(MAX_NAME_LENGTH),
  /** Shared by all starts of one backend server; absent when each start has its own name. */
  name: z.string().max(MAX_NAME_LENGTH).optional(),
  /** Start time in milliseconds of the server's own clock, which may jump; distinguishes its starts. */
  startedAt: z.int().optional(),
  pool: z.string(),
  /** `host:port` for requests. */
  address: z.string(),
  zone: z.string(),
  isLeaving: z.boolean(),
  /** Increases with each call, so that delayed calls are detected. */
  sequence: z.int(),
  /** Number of requests that the server handles concurrently. */
  slots: z.int().nonnegative(),
  /** Network domain, whose hosts share a fast interconnect; absent for a plain service. */
  domain: z.string().optional(),
  /** The model that is loaded in memory. */
  model: z.string().optional(),
  /** Models whose weights are stored on the host. */
  stagedModels: z.array(z.string()),
  group: GroupMembership.optional(),
  /** Time for which the server stays slow after its start, in milliseconds; absent or 0 for one that is warm. */
  coldForMs: z.number().nonnegative().optional(),
});
export type BackendRegistration = z.infer<typeof BackendRegistration>;
