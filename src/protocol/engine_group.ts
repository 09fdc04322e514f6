import {z} from 'zod';

/** A model replica that control has set: its members in order, the head first. */
export const EngineGroup = z.object({
  name: z.string(),
  /** Index of the log entry that set the group, so it increases across all groups. */
  epoch: z.int().nonnegative(),
  pool: z.string(),
  model: z.string(),
  domain: z.string(),
  members: z
    .array(
      z.object({
        incarnation: z.string(),
        /** Shared by all starts of this backend server. */
        name: z.string().optional(),
        /** `host:port`, so that a new leader can query members that have not registered with it yet. */
        address: z.string(),
      }),
    )
    .min(1),
  /** True when the group has lost or will lose a member: its teardown cannot be reverted. */
  isEnding: z.boolean(),
  /** True when a member has left while the head did not respond; the head fails on its own then. */
  isReleased: z.boolean(),
});
export type EngineGroup = z.infer<typeof EngineGroup>;
