/** Plans which replica groups to form, repair, drain and remove. */
import {Group} from '../../protocol/group';
import {FreeHosts} from './free_hosts';
import {GroupAction} from './group_action';
import {GroupPlanInput} from './group_plan_input';
import {hostLoss} from './host_loss';
import {HostView} from './host_view';
import {listReplicaDemands} from './list_replica_demands';
import {GroupPlanContext} from './group_plan_context';
import {planFormation} from './plan_formation';
import {planRepair} from './plan_repair';

type Member = Group['members'][number];

/**
 * Plans the next changes. Pure function of the current state. Repairs get free
 * hosts before new groups, and groups of higher worth before those of lower worth.
 *
 * @returns changes to commit, in order; none if the fleet is in the desired state
 * @example
 * const actions = planGroups({bundle, groups, hosts, findEpoch, now: clock.now()});
 */
export function planGroups(input: GroupPlanInput): GroupAction[] {
  const hosts = new Map(input.hosts.map(host => [host.report.hostId, host]));
  const demands = listReplicaDemands(input.bundle);
  const lost = new Map(
    input.groups.map(group => [group.id, listLost(group, hosts, input.now)]),
  );
  const isBroken = (group: Group) => (lost.get(group.id) ?? []).length > 0;
  const broken = input.groups.filter(isBroken);
  const context: GroupPlanContext = {
    input,
    hosts,
    free: FreeHosts.create(input),
    demands,
    brokenGroupIds: new Set(broken.map(group => group.id)),
  };
  const findWorthRank = (group: Group) =>
    demands.findIndex(demand => demand.name === group.name);
  const repairs = [...broken]
    .sort((left, right) => findWorthRank(left) - findWorthRank(right))
    .map(group => planBroken(group, lost.get(group.id) ?? [], context));
  const others = input.groups
    .filter(group => !isBroken(group))
    .map(group => planComplete(group, context));
  const formations = demands.flatMap(demand => planFormation(demand, context));
  const changes = [...repairs, ...others].filter(
    action => action !== undefined,
  );
  return [...removeDuplicates(changes), ...formations];
}

/**
 * Lists the lost members. If the first member hears none of several others, but the
 * control plane hears them all, the first member is the one that is partitioned.
 */
function listLost(
  group: Group,
  hosts: ReadonlyMap<string, HostView>,
  now: number,
): Member[] {
  const lost = group.members.filter(member =>
    hostLoss.find(member, hosts.get(member.hostId), now),
  );
  const [first, ...others] = group.members;
  const isFirstPartitioned =
    others.length > 1 &&
    others.every(member => lost.includes(member)) &&
    others.every(member => {
      const host = hosts.get(member.hostId);
      return host !== undefined && hostLoss.isAlive(host, now);
    });
  return isFirstPartitioned ? [first] : lost;
}

function planBroken(
  group: Group,
  lost: readonly Member[],
  context: GroupPlanContext,
): GroupAction | undefined {
  if (group.isDraining) {
    const {id: groupId, epoch} = group;
    const reason = 'a member was lost while it drained';
    return {type: 'remove-group', groupId, epoch, reason};
  }
  return planRepair(group, lost, context);
}

function planComplete(
  group: Group,
  context: GroupPlanContext,
): GroupAction | undefined {
  const target = {groupId: group.id, epoch: group.epoch};
  if (group.isDraining) {
    // A report from before the first member knew of the drain does not show that it is drained.
    const first = context.hosts.get(group.members[0].hostId)?.report;
    const isDone =
      first?.isDrained === true && first.assignment?.epoch === group.epoch;
    return isDone
      ? {type: 'remove-group', ...target, reason: 'drained'}
      : undefined;
  }
  const reason = findDrainReason(group, context);
  return reason ? {type: 'drain-group', ...target, reason} : undefined;
}

function findDrainReason(
  group: Group,
  {input, hosts, demands}: GroupPlanContext,
): string | undefined {
  const demand = demands.find(
    other => other.kind === group.kind && other.name === group.name,
  );
  if (!demand) {
    return `${group.name} is not in the bundle`;
  }
  if (group.members.length !== demand.hostsPerReplica) {
    return `the bundle wants ${demand.hostsPerReplica} hosts for each replica`;
  }
  const same = input.groups.filter(
    other =>
      other.kind === group.kind &&
      other.name === group.name &&
      !other.isDraining,
  );
  if (same.indexOf(group) >= demand.replicas) {
    return `the bundle wants ${demand.replicas} replicas`;
  }
  const leaving = group.members.find(member =>
    isLeaving(hosts.get(member.hostId)),
  );
  return leaving ? `${leaving.hostId} is leaving` : undefined;
}

function isLeaving(host: HostView | undefined): boolean {
  return host !== undefined && (host.report.isLeaving || host.isDrained);
}

/** Keeps the first action for each group, since two broken groups may choose the same donor. */
function removeDuplicates(actions: readonly GroupAction[]): GroupAction[] {
  const seen = new Set<string>();
  return actions.filter(action => {
    const id = action.type === 'set-group' ? action.group.id : action.groupId;
    const isNew = !seen.has(id);
    seen.add(id);
    return isNew;
  });
}
