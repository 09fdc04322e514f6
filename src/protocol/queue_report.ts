/** Requests of one model at one gateway, by urgency, as reported to the leader. */
import {z} from 'zod';

const UrgencyLevel = z.object({
  /** 0 is the most urgent. */
  urgency: z.int().nonnegative(),
  /** Requests that wait for a place now. */
  waiting: z.int().nonnegative(),
  /** Recent arrivals, repeats of refused requests included. */
  requestsPerSecond: z.number().nonnegative(),
  /** Time since a request was last refused for want of a place, in milliseconds; absent if none was lately. */
  refusedMsAgo: z.number().nonnegative().optional(),
});

export const QueueReport = z.object({
  pool: z.string(),
  model: z.string(),
  /** Only levels with requests, the most urgent first. */
  levels: z.array(UrgencyLevel),
});
export type QueueReport = z.infer<typeof QueueReport>;
