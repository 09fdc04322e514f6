import {HostView} from '../coordination/groups/host_view';
import {FleetStatus} from '../protocol/fleet_status';
import {Group} from '../protocol/group';
import {Fleet} from './fleet';
import {RaftRuntime} from './raft_runtime';

/** Sources of the status. */
interface StatusInput {
  readonly identity: string;
  readonly runtime: RaftRuntime;
  readonly fleet: Fleet;
  readonly reachable: readonly string[];
  readonly now: number;
}

/**
 * Creates the status report for operators from the state of the leader.
 *
 * @example
 * const status = createFleetStatus({identity, runtime, fleet, reachable, now: clock.now()});
 */
export function createFleetStatus(input: StatusInput): FleetStatus {
  const {identity, runtime, fleet, reachable, now} = input;
  const {state, raft} = runtime;
  const hosts = fleet.listHosts(now, hostId => state.isDrained(hostId));
  const entries = fleet.listEntries(now);
  const newest = state.bundles.list().at(-1);
  const versions = [...hosts.map(host => host.report), ...entries].map(
    seen => seen.bundleVersion,
  );
  return {
    leader: identity,
    term: raft.term,
    commitIndex: raft.commitIndex,
    voters: [identity, ...raft.others].map(voter => ({
      identity: voter,
      isReachable: voter === identity || reachable.includes(voter),
      isCaughtUp: raft.isCaughtUp(voter),
    })),
    isChangingVoters: raft.isChangingVoters,
    bundle: {
      version: newest?.version ?? 0,
      digest: newest?.digest ?? '',
      keyId: newest?.keyId ?? '',
      inForce: versions.filter(version => version === (newest?.version ?? 0))
        .length,
      of: versions.length,
    },
    groups: state.groups.list().map(group => describeGroup(group, hosts)),
    hosts: hosts.map(host => describeHost(host, now)),
    entries: entries.map(({entryId, bundleVersion}) => ({
      entryId,
      bundleVersion,
    })),
    claims: state.claims.size,
    evacuations: state.evacuations.list(),
  };
}

function describeGroup(
  group: Group,
  hosts: readonly HostView[],
): FleetStatus['groups'][number] {
  const first = hosts.find(
    host => host.report.hostId === group.members[0].hostId,
  )?.report;
  const isCurrent = first?.assignment?.epoch === group.epoch;
  return {
    ...group,
    isServing: isCurrent && first?.isServing === true,
    running: first?.running ?? 0,
    missing: first?.missing ?? [],
  };
}

function describeHost(
  host: HostView,
  now: number,
): FleetStatus['hosts'][number] {
  const {hostId, zone, domain, backend, assignment, isLeaving, bundleVersion} =
    host.report;
  return {
    hostId,
    zone,
    domain,
    backend: backend ? `${backend.kind} ${backend.name}` : '',
    group: assignment ? `${assignment.groupId}@${assignment.epoch}` : '',
    isLeaving: isLeaving || host.isDrained,
    seenMsAgo: Math.round(now - host.seenAt),
    bundleVersion,
  };
}
