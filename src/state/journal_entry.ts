import {z} from 'zod';

/** A decision of control, as it is kept for `whinreel explain`. */
export const JournalEntry = z.object({
  /** Place in the replicated log. */
  index: z.int(),
  /** Wall-clock milliseconds at the leader that decided. */
  time: z.number(),
  type: z.string(),
  subject: z.enum(['group', 'host', 'bundle', 'claim', 'control', 'request']),
  id: z.string(),
  reason: z.string(),
  details: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type JournalEntry = z.infer<typeof JournalEntry>;
