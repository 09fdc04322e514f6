/** An availability zone that gets no requests, by order of an operator. */
import {z} from 'zod';

export const ZoneEvacuation = z.object({
  zone: z.string().min(1).max(200),
  /** The operator's key, or the channel on which the order came in. */
  requestedBy: z.string(),
  /** Wall-clock milliseconds at the leader that committed it. */
  since: z.number(),
});
export type ZoneEvacuation = z.infer<typeof ZoneEvacuation>;
