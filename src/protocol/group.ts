import {z} from 'zod';

const GroupMember = z.object({
  hostId: z.string(),
  incarnation: z.string(),
  address: z.string(),
});

/**
 * A committed replica group, whose first member admits requests. Its epoch increases
 * with every change. Epochs of different groups are not comparable, so engines, which
 * move between groups, are fenced by `fencing` instead.
 */
export const Group = z.object({
  id: z.string().max(128),
  epoch: z.int().positive(),
  /** Fencing token of orders to engines: the index of the log entry that set the group. */
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
