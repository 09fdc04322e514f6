import {z} from 'zod';

/** A recorded decision of the control plane, shown by `whinreel explain`. */
export const JournalEntry = z.object({
  /** Index in the replicated log. */
  index: z.int(),
  /** Wall-clock milliseconds of the leader that decided. */
  time: z.number(),
  type: z.string(),
  subject: z.enum([
    'group',
    'host',
    'zone',
    'bundle',
    'claim',
    'control',
    'request',
  ]),
  id: z.string(),
  reason: z.string(),
  details: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type JournalEntry = z.infer<typeof JournalEntry>;
