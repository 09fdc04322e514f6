import {z} from 'zod';

/** What one process knows of how long a backend server stays cold. */
export const ColdServerReport = z.object({
  incarnation: z.string(),
  /** Milliseconds from when this was sent; 0 for a server that is warm. */
  coldForMs: z.number().nonnegative(),
  /** Milliseconds since the server said so, at least. */
  msAgo: z.number().nonnegative(),
  /** The leader from which the caller has this, if it is not from an answer of the server. */
  leader: z.string().optional(),
});
export type ColdServerReport = z.infer<typeof ColdServerReport>;
