/** Encoded form of the replicated state in snapshots. */
import {z} from 'zod';
import {JournalEntry} from './journal_entry';

export const ClusterSnapshot = z.object({
  time: z.number(),
  bundles: z.unknown(),
  groups: z.unknown(),
  claims: z.unknown(),
  drained: z.array(z.string()),
  journal: z.array(JournalEntry),
  channel: z.unknown().optional(),
  engines: z.unknown().optional(),
  suspects: z.unknown().optional(),
  evacuations: z.unknown().optional(),
  retryLoans: z.unknown().optional(),
  voterZones: z.record(z.string(), z.string()).optional(),
});
export type ClusterSnapshot = z.infer<typeof ClusterSnapshot>;
