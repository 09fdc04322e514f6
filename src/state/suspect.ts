import {z} from 'zod';

/** What is held against one request. */
export const Suspect = z.object({
  /** Ends of backend servers while it ran there. */
  crashes: z.array(
    z.object({
      incarnation: z.string(),
      time: z.number(),
      hadBegun: z.boolean(),
    }),
  ),
  standing: z.enum(['watched', 'suspected', 'convicted']),
  /** The change of the table with which its standing came. */
  changedAt: z.int(),
  /** Where it runs alone of all suspects, and since when. */
  trial: z.object({incarnation: z.string(), time: z.number()}).optional(),
});
export type Suspect = z.infer<typeof Suspect>;
