/** Raft messages between control processes. */
import {z} from 'zod';
import {LogEntry} from './log_entry';

const Term = z.int().nonnegative();
const Index = z.int().nonnegative();

export const RaftMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('vote-ask'),
    term: Term,
    lastIndex: Index,
    lastTerm: Term,
    /** A pre-vote, which does not change the state of the receiver. */
    isPreVote: z.boolean(),
  }),
  z.object({
    type: z.literal('vote-answer'),
    term: Term,
    isGranted: z.boolean(),
    isPreVote: z.boolean(),
    /** Why the vote is not granted, for the candidate's log. */
    refusal: z.string().optional(),
  }),
  z.object({
    type: z.literal('append-ask'),
    term: Term,
    previousIndex: Index,
    previousTerm: Term,
    entries: z.array(LogEntry),
    commitIndex: Index,
    /** Number of the leader's replication round, which tells it how recent an answer is. */
    round: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('append-answer'),
    term: Term,
    isMatch: z.boolean(),
    /** The last matching index, or the highest index to try next. */
    matchIndex: Index,
    round: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('snapshot-ask'),
    term: Term,
    lastIndex: Index,
    lastTerm: Term,
    /** Voters as of `lastIndex`; maps names to identities. */
    voters: z.record(z.string(), z.string()),
    state: z.custom<Uint8Array>(value => value instanceof Uint8Array),
    round: z.int().nonnegative(),
  }),
]);
export type RaftMessage = z.infer<typeof RaftMessage>;
