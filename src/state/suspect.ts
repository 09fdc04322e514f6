import {z} from 'zod';

/** A request, or a part of prompts, under suspicion of crashing backend servers. */
export const Suspect = z.object({
  /** Crashes of backend servers while the request ran on them. */
  crashes: z.array(
    z.object({
      incarnation: z.string(),
      time: z.number(),
      hadBegun: z.boolean(),
      inTrial: z.boolean().optional(),
    }),
  ),
  /** `watched`: not restricted; `suspected`: sent only in a trial; `convicted`: never sent. */
  standing: z.enum(['watched', 'suspected', 'convicted']),
  /** Version of the table in which `standing` last changed. */
  changedAt: z.int(),
  /** For a part of a prompt: the requests that held it at these crashes. */
  holders: z
    .array(
      z.object({
        incarnation: z.string(),
        request: z.string(),
        parts: z.array(z.string()),
      }),
    )
    .optional(),
  /** The backend server on which it runs as the only suspect, and since when. */
  trial: z.object({incarnation: z.string(), time: z.number()}).optional(),
});
export type Suspect = z.infer<typeof Suspect>;
