import {z} from 'zod';

/** A replica of a model that control wants: its members in order, the head first. */
export const EngineGroup = z.object({
  name: z.string(),
  /** The place in the log that set it, so it rises over all groups. */
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
        /** `host:port`, so that a new leader can ask members it has not heard. */
        address: z.string(),
      }),
    )
    .min(1),
  /** It lost a member or is to lose one: it is being taken apart, for good. */
  isEnding: z.boolean(),
  /** A member has left while the head was silent, so the head will break by itself. */
  isReleased: z.boolean(),
});
export type EngineGroup = z.infer<typeof EngineGroup>;
