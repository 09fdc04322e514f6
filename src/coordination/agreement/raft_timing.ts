/** Milliseconds that govern the agreement between control processes. */
export interface RaftTiming {
  /** Between rounds of the leader. */
  readonly heartbeatMs: number;
  /** The shortest silence after which a follower stands for election. */
  readonly electionMs: number;
  /** How long a confirmed round lets the leader answer reads; below `electionMs`. */
  readonly leaseMs: number;
}
