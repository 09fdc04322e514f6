/** Messages of the agreement between control processes. */
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
    /** A trial that changes no state: would you vote for me? */
    isPreVote: z.boolean(),
  }),
  z.object({
    type: z.literal('vote-answer'),
    term: Term,
    isGranted: z.boolean(),
    isPreVote: z.boolean(),
    /** Why it is not granted, for the asker's log. */
    refusal: z.string().optional(),
  }),
  z.object({
    type: z.literal('append-ask'),
    term: Term,
    previousIndex: Index,
    previousTerm: Term,
    entries: z.array(LogEntry),
    commitIndex: Index,
    /** Numbers the leader's rounds, so that it knows how fresh an answer is. */
    round: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('append-answer'),
    term: Term,
    isMatch: z.boolean(),
    /** The last index known to match, or the highest worth trying. */
    matchIndex: Index,
    round: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('snapshot-ask'),
    term: Term,
    lastIndex: Index,
    lastTerm: Term,
    /** Voters as of `lastIndex`, name to identity. */
    voters: z.record(z.string(), z.string()),
    state: z.custom<Uint8Array>(value => value instanceof Uint8Array),
    round: z.int().nonnegative(),
  }),
]);
export type RaftMessage = z.infer<typeof RaftMessage>;
