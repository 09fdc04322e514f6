import {z} from 'zod';

/** The leader's answer to a gateway that would send one request to a backend server with a limit. */
export const PermitVerdict = z.object({
  /** `free`: it names no limit any more. */
  kind: z.enum(['granted', 'later', 'free']),
  /** Until the gateway should ask again, in milliseconds. */
  pauseMs: z.number().nonnegative(),
  /** Between two permits for this gateway, in milliseconds. */
  intervalMs: z.number().nonnegative(),
});
export type PermitVerdict = z.infer<typeof PermitVerdict>;
