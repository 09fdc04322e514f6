import {z} from 'zod';

/** Answer of the leader to a gateway that requests a permit for one request to a rate-limited backend server. */
export const PermitVerdict = z.object({
  /** `free`: the server does not advertise a limit any more. */
  kind: z.enum(['granted', 'later', 'free']),
  /** Milliseconds until the gateway should ask again. */
  pauseMs: z.number().nonnegative(),
  /** Milliseconds between two permits for this gateway. */
  intervalMs: z.number().nonnegative(),
});
export type PermitVerdict = z.infer<typeof PermitVerdict>;
