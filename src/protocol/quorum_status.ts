import {z} from 'zod';

/** What one control process knows about its quorum; it needs no leader. */
export const QuorumStatus = z.object({
  identity: z.string(),
  /** `none` before the process knows the voters of a quorum. */
  role: z.string(),
  /** Identity of the leader; null when none was heard lately. */
  leader: z.string().nullable(),
  /** Time since a leader was heard, in milliseconds. */
  leaderSilentMs: z.number(),
  term: z.int(),
  lastIndex: z.int(),
  lastTerm: z.int(),
  commitIndex: z.int(),
  /** Identities of the voters; a majority of each set must agree. */
  voterSets: z.array(z.array(z.string())),
  /** The other voters, or the processes that are asked for a quorum while none is known. */
  peers: z.array(
    z.object({
      /** Identity, or name while the identity is not known. */
      identity: z.string(),
      isReachable: z.boolean(),
      /** Time since the connection opened or was lost, in milliseconds. */
      sinceMs: z.number(),
      failure: z.string().optional(),
      /** Answer to the latest request for a vote: `granted`, or why it was refused. */
      vote: z.string().optional(),
      voteAgeMs: z.number().optional(),
    }),
  ),
  /** Time for which disk writes have been in progress, in milliseconds. */
  writePendingMs: z.number(),
  /** Why there is no leader; empty while there is one. */
  explanation: z.string(),
});
export type QuorumStatus = z.infer<typeof QuorumStatus>;
