/** Decides which groups to form, repair, drain and remove. */
import {Group} from '../../protocol/group';
import {FreeHosts} from './free_hosts';
import {GroupAction} from './group_action';
import {GroupPlanInput} from './group_plan_input';
import {hostLoss} from './host_loss';
import {HostView} from './host_view';
import {listDemands} from './list_demands';
import {PlanContext} from './plan_context';
import {planFormation} from './plan_formation';
import {planRepair} from './plan_repair';

type Member = Group['members'][number];

/**
 * Plans the next changes; a pure function of what is known now. Repairs get
 * free hosts before new groups do, groups of more worth before those of less.
 *
 * @returns changes to commit, in order; none when the fleet is as it should be
 * @example
 * const actions = planGroups({bundle, groups, hosts, findEpoch, now: clock.now()});
 */
export function planGroups(input: GroupPlanInput): GroupAction[] {
  const hosts = new Map(input.hosts.map(host => [host.report.hostId, host]));
  const demands = listDemands(input.bundle);
  const lost = new Map(
    input.groups.map(group => [group.id, listLost(group, hosts, input.now)]),
  );
  const isBroken = (group: Group) => (lost.get(group.id) ?? []).length > 0;
  const broken = input.groups.filter(isBroken);
  const context: PlanContext = {
    input,
    hosts,
    free: FreeHosts.create(input),
    demands,
    brokenIds: new Set(broken.map(group => group.id)),
  };
  const findRank = (group: Group) =>
    demands.findIndex(demand => demand.name === group.name);
  const repairs = [...broken]
    .sort((left, right) => findRank(left) - findRank(right))
    .map(group => planBroken(group, lost.get(group.id) ?? [], context));
  const others = input.groups
    .filter(group => !isBroken(group))
    .map(group => planWhole(group, context));
  const formations = demands.flatMap(demand => planFormation(demand, context));
  const changes = [...repairs, ...others].filter(
    action => action !== undefined,
  );
  return [...removeRepeated(changes), ...formations];
}

/**
 * Members that are lost. A first member that hears none of several others,
 * while control hears them, is itself the one that is cut off.
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
  const isFirstAlone =
    others.length > 1 &&
    others.every(member => lost.includes(member)) &&
    others.every(member => {
      const host = hosts.get(member.hostId);
      return host !== undefined && hostLoss.isHeard(host, now);
    });
  return isFirstAlone ? [first] : lost;
}

function planBroken(
  group: Group,
  lost: readonly Member[],
  context: PlanContext,
): GroupAction | undefined {
  if (group.isDraining) {
    const {id: groupId, epoch} = group;
    const reason = 'a member was lost while it drained';
    return {type: 'remove-group', groupId, epoch, reason};
  }
  return planRepair(group, lost, context);
}

function planWhole(
  group: Group,
  context: PlanContext,
): GroupAction | undefined {
  const target = {groupId: group.id, epoch: group.epoch};
  if (group.isDraining) {
    // Counts from before the first member knew of the drain say nothing.
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
  {input, hosts, demands}: PlanContext,
): string | undefined {
  const demand = demands.find(
    wanted => wanted.kind === group.kind && wanted.name === group.name,
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

/** Two broken groups may choose the same donor; one drain of it is enough. */
function removeRepeated(actions: readonly GroupAction[]): GroupAction[] {
  const seen = new Set<string>();
  return actions.filter(action => {
    const id = action.type === 'set-group' ? action.group.id : action.groupId;
    const isNew = !seen.has(id);
    seen.add(id);
    return isNew;
  });
}
