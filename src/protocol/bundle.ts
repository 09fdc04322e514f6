/** A version of the operator's configuration: models, services, workspaces and objectives. */
import {z} from 'zod';

const Name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'use lower-case letters, digits and hyphens',
  );

const Model = z.strictObject({
  name: Name,
  replicas: z.int().min(0).max(10_000),
  hostsPerReplica: z.int().min(1).max(64),
  /** When hosts are scarce, the model with the lowest worth gives up hosts first. */
  worth: z.number().positive().default(1),
  /** Time for one host to load the weights while no other host loads. */
  loadSeconds: z.number().positive().default(60),
});

const Service = z.strictObject({
  name: Name,
  replicas: z.int().min(0).max(10_000),
  worth: z.number().positive().default(1),
  /** Requests that run at most once, by method and path prefix. */
  notRepeatable: z
    .array(
      z.strictObject({
        method: z.string(),
        pathPrefix: z.string().startsWith('/'),
      }),
    )
    .default([]),
});

const Workspace = z.strictObject({
  name: Name,
  /** SHA-256 of each API key, in hex; a bundle never contains the keys themselves. */
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in hex'))
    .min(1),
  /** Limit on requests in flight, over all entries. */
  maxInFlight: z.int().positive().default(64),
  priority: z.int().min(0).max(9).default(5),
});

const Objectives = z.strictObject({
  firstTokenMs: z.number().positive().default(430),
  betweenTokensMs: z.number().positive().default(34),
  /** Fraction of requests that must meet each objective. */
  share: z.number().gt(0).lt(1).default(0.95),
});

export const Bundle = z.strictObject({
  operator: Name,
  version: z.int().positive(),
  /** Digest of the previous version; empty for version 1. */
  previous: z.string().default(''),
  models: z.array(Model).default([]),
  services: z.array(Service).default([]),
  workspaces: z.array(Workspace).min(1),
  objectives: Objectives.prefault({}),
  weights: z
    .strictObject({
      groupDowntime: z.number().positive().default(1),
      strandedAccelerators: z.number().positive().default(1),
    })
    .prefault({}),
  /** Number of hosts that the weight store serves concurrently at full speed. */
  weightStore: z
    .strictObject({concurrentLoads: z.int().positive().default(8)})
    .prefault({}),
  onceOnly: z
    .strictObject({
      keepMinutes: z
        .int()
        .positive()
        .default(24 * 60),
    })
    .prefault({}),
});
export type Bundle = z.infer<typeof Bundle>;
