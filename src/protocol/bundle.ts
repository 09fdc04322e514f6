/** What operators decide: models, services, workspaces and rules, in one version. */
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
  /** Which model gives up hosts first when they are short: the lowest worth. */
  worth: z.number().positive().default(1),
  /** Until one host has loaded the weights, alone at the weight store. */
  loadSeconds: z.number().positive().default(60),
});

const Service = z.strictObject({
  name: Name,
  replicas: z.int().min(0).max(10_000),
  worth: z.number().positive().default(1),
  /** Calls that run at most once, by method and path prefix. */
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
  /** SHA-256 of each key, in hex; the keys themselves are never in a bundle. */
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in hex'))
    .min(1),
  /** Requests that may be in flight at once in the whole system. */
  maxInFlight: z.int().positive().default(64),
  priority: z.int().min(0).max(9).default(5),
});

const Objectives = z.strictObject({
  firstTokenMs: z.number().positive().default(430),
  betweenTokensMs: z.number().positive().default(34),
  /** The share of requests that must meet each objective. */
  share: z.number().gt(0).lt(1).default(0.95),
});

export const Bundle = z.strictObject({
  operator: Name,
  version: z.int().positive(),
  /** Digest of the version before; empty for version 1. */
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
  /** How many hosts may load weights at once before they wait for each other. */
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
