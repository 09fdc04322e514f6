import {RaftTiming} from './raft_timing';

/** The lease is three quarters of the election timeout, which leaves a margin for clock drift. */
export const defaultRaftTiming: RaftTiming = {
  heartbeatMs: 100,
  electionMs: 600,
  leaseMs: 450,
};
