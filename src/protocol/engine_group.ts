import {z} from 'zod';

/** A replica of a model that control wants: its members in order, the head first. */
export const EngineGroup = z.object({
  name: z.string(),
  /** The place in the log that set it, so it rises over all groups. */
  epoch: z.int().nonnegative(),
  pool: z.string(),
  model: z.string(),
  domain: z.string(),
  /** Incarnations of the backend servers. */
  members: z.array(z.string()).min(1),
  /** It lost a member or is to lose one: it is being taken apart, for good. */
  isEnding: z.boolean(),
});
export type EngineGroup = z.infer<typeof EngineGroup>;
