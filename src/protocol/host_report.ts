import {z} from 'zod';

/** What a host process tells control about itself, a few times a second. */
export const HostReport = z.object({
  hostId: z.string().max(128),
  incarnation: z.string().max(64),
  zone: z.string(),
  domain: z.string(),
  address: z.string(),
  /** The backend server that announced itself, if one did. */
  backend: z
    .object({
      kind: z.enum(['model', 'service']),
      name: z.string(),
      accelerators: z.int().nonnegative(),
    })
    .nullable(),
  isLeaving: z.boolean(),
  assignment: z.object({groupId: z.string(), epoch: z.int()}).nullable(),
  /** What it was last told about its group; control repeats only what differs. */
  told: z.object({fencing: z.int(), isDraining: z.boolean()}).nullable(),
  /** For a first member: the group serves. */
  isServing: z.boolean(),
  /** For a first member: members that it does not hear. */
  missing: z.array(z.string()),
  running: z.int().nonnegative(),
  /** For a first member: it knows that its group drains, and nothing runs any more. */
  isDrained: z.boolean(),
  bundleVersion: z.int().nonnegative(),
});
export type HostReport = z.infer<typeof HostReport>;
