/** Timeouts of the Raft protocol, in milliseconds. */
export interface RaftTiming {
  /** Interval between heartbeats of the leader. */
  readonly heartbeatMs: number;
  /** Minimum election timeout; the actual one is drawn from one to two times this value. */
  readonly electionMs: number;
  /** Duration of the leader lease after a quorum answered; less than `electionMs`. */
  readonly leaseMs: number;
}
