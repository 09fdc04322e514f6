import {splitIdentity} from '../protocol/split_identity';
import {QuorumStatus} from '../protocol/quorum_status';
import {ControlConnections} from './control_connections';
import {explainMissingLeader} from './explain_missing_leader';
import {RaftRuntime} from './raft_runtime';

/** Above the longest election timeout: a leader that is silent for longer has been lost. */
const LEADER_SILENT_MS = 1_200;

/** Sources of the status. */
interface QuorumStatusInput {
  readonly identity: string;
  /** Undefined before the process knows the voters of a quorum. */
  readonly runtime: RaftRuntime | undefined;
  readonly connections: Pick<
    ControlConnections,
    'listNames' | 'findConnection'
  >;
  /** When this process started, and the current time, on its monotonic clock. */
  readonly startedAt: number;
  readonly now: number;
}

/**
 * Describes the quorum as one process sees it, with or without a leader.
 *
 * @example
 * const status = createQuorumStatus({identity, runtime, connections, startedAt, now: clock.now()});
 */
export function createQuorumStatus(input: QuorumStatusInput): QuorumStatus {
  const {identity, runtime, now, startedAt} = input;
  const election = runtime?.raft.describeElection(now);
  const leaderSilentMs = Math.round(
    election?.leaderSilentMs ?? now - startedAt,
  );
  const leader =
    leaderSilentMs < LEADER_SILENT_MS ? (election?.leader ?? null) : null;
  const situation = {
    identity,
    role: election?.role ?? 'none',
    leader,
    leaderSilentMs,
    term: election?.term ?? 0,
    lastIndex: election?.lastIndex ?? 0,
    lastTerm: election?.lastTerm ?? 0,
    commitIndex: election?.commitIndex ?? 0,
    voterSets: (election?.voterSets ?? []).map(voters => [...voters.values()]),
    peers: describePeers(input, runtime?.raft.others, election?.votes),
    writePendingMs: Math.round(runtime?.writePendingMs ?? 0),
  };
  const explanation = leader === null ? explainMissingLeader(situation) : '';
  return {...situation, explanation};
}

type Votes = ReturnType<RaftRuntime['raft']['describeElection']>['votes'];

function describePeers(
  {connections}: QuorumStatusInput,
  voters: readonly string[] | undefined,
  votes: Votes | undefined,
): QuorumStatus['peers'] {
  return (voters ?? connections.listNames()).map(peer => {
    const connection = connections.findConnection(splitIdentity(peer).name);
    const vote = votes?.get(peer);
    // A process that answers under the name of a voter with another disk is not that voter.
    const isReachable = voters
      ? connection?.identity === peer
      : connection?.identity !== undefined;
    const successor = isReachable ? undefined : connection?.identity;
    return {
      identity: peer,
      isReachable,
      sinceMs: Math.round(connection?.sinceMs ?? 0),
      failure: successor
        ? `${successor} answers there, with another disk`
        : connection?.failure,
      vote: vote && (vote.refusal ?? 'granted'),
      voteAgeMs: vote && Math.round(vote.ageMs),
    };
  });
}
