import {z} from 'zod';

/** Status report that a host process sends to control several times a second. */
export const HostReport = z.object({
  hostId: z.string().max(128),
  incarnation: z.string().max(64),
  zone: z.string(),
  domain: z.string(),
  address: z.string(),
  /** The backend server that has announced itself, if any. */
  backend: z
    .object({
      kind: z.enum(['model', 'service']),
      name: z.string(),
      accelerators: z.int().nonnegative(),
    })
    .nullable(),
  isLeaving: z.boolean(),
  assignment: z.object({groupId: z.string(), epoch: z.int()}).nullable(),
  /** The last known state of its group; control sends only a state that differs. */
  told: z.object({fencing: z.int(), isDraining: z.boolean()}).nullable(),
  /** For a first member: whether the group serves. */
  isServing: z.boolean(),
  /** For a first member: members whose heartbeats are missing. */
  missing: z.array(z.string()),
  running: z.int().nonnegative(),
  /** For a first member: its group drains and no requests are running. */
  isDrained: z.boolean(),
  bundleVersion: z.int().nonnegative(),
});
export type HostReport = z.infer<typeof HostReport>;
