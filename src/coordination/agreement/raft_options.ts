import {RaftLog} from './raft_log';
import {RaftTiming} from './raft_timing';

/** Initial state and dependencies of a Raft node. */
export interface RaftOptions {
  /** Identity of this node: its name and the id of its disk. */
  readonly identity: string;
  readonly log: RaftLog;
  readonly term: number;
  readonly votedFor: string | undefined;
  /** Index of the last entry that the state contains, which is that of the snapshot. */
  readonly commitIndex: number;
  /** Commit index recovered from the log; the entries up to it may not have been applied yet. */
  readonly knownCommitIndex?: number;
  readonly timing: RaftTiming;
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number;
  /** Returns the newest snapshot, for followers whose next entry is no longer in the log. */
  readonly readSnapshot: () => Uint8Array;
  /** Current time in milliseconds, on the clock that is passed to `step`. */
  readonly now: number;
  /**
   * When the process started, on the same clock: since then it has heard no leader.
   * Defaults to `now`.
   */
  readonly startedAt?: number;
}
