import {z} from 'zod';

const GroupMember = z.object({
  hostId: z.string(),
  incarnation: z.string(),
  address: z.string(),
});

/**
 * A committed replica group. Its epoch rises with every change. Epochs of two
 * groups say nothing about each other, so engines, which move between groups,
 * are fenced by another number. The first member admits work.
 */
export const Group = z.object({
  id: z.string().max(128),
  epoch: z.int().positive(),
  /** The number that orders to engines carry: the place in the log that set the group. */
  fencing: z.int().nonnegative(),
  kind: z.enum(['model', 'service']),
  /** Name of the model or service in the bundle. */
  name: z.string(),
  domain: z.string(),
  zone: z.string(),
  members: z.array(GroupMember).min(1),
  isDraining: z.boolean(),
});
export type Group = z.infer<typeof Group>;
