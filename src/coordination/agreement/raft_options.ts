import {RaftLog} from './raft_log';
import {RaftTiming} from './raft_timing';

/** What a node of the agreement starts from. */
export interface RaftOptions {
  /** The identity of this node: its name and that of its disk. */
  readonly identity: string;
  readonly log: RaftLog;
  readonly term: number;
  readonly votedFor: string | undefined;
  /** Everything up to here is known to be committed (the snapshot's place). */
  readonly commitIndex: number;
  /** Entries up to here were committed, though they may not be applied yet. */
  readonly knownCommitIndex?: number;
  readonly timing: RaftTiming;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** The newest snapshot of the state, for followers that are far behind. */
  readonly readSnapshot: () => Uint8Array;
  /** Milliseconds on the same clock as the events. */
  readonly now: number;
  /** When this start of the process began, on that clock: it answered nobody since. Without it, `now`. */
  readonly startedAt?: number;
}
