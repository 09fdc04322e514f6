import {z} from 'zod';

/** What one process knows of the limit that a backend server names. */
export const RateLimitReport = z.object({
  incarnation: z.string(),
  /** Requests a second from all gateways together; null where it names none any more. */
  perSecond: z.number().nonnegative().nullable(),
  /** Milliseconds since it was named, or since the request was sent whose answer named none. */
  msAgo: z.number().nonnegative(),
});
export type RateLimitReport = z.infer<typeof RateLimitReport>;
