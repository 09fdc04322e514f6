import {z} from 'zod';

/** A request under suspicion of crashing backend servers. */
export const Suspect = z.object({
  /** Crashes of backend servers while the request ran on them. */
  crashes: z.array(
    z.object({
      incarnation: z.string(),
      time: z.number(),
      hadBegun: z.boolean(),
    }),
  ),
  /** `watched`: not restricted; `suspected`: sent only in a trial; `convicted`: never sent. */
  standing: z.enum(['watched', 'suspected', 'convicted']),
  /** Version of the table in which `standing` last changed. */
  changedAt: z.int(),
  /** The backend server on which it runs as the only suspect, and since when. */
  trial: z.object({incarnation: z.string(), time: z.number()}).optional(),
});
export type Suspect = z.infer<typeof Suspect>;
