import {z} from 'zod';

/** What one process knows of the rate limit that a backend server advertises. */
export const RateLimitReport = z.object({
  incarnation: z.string(),
  /** Requests per second over all gateways; null when the server does not advertise a limit any more. */
  perSecond: z.number().nonnegative().nullable(),
  /** Milliseconds since the limit was advertised, or since the request was sent whose response had none. */
  msAgo: z.number().nonnegative(),
});
export type RateLimitReport = z.infer<typeof RateLimitReport>;
