/** Plans the repair of a group that lost members. */
import {Group} from '../../protocol/group';
import {BrokenGroup} from './broken_group';
import {createMember} from './create_member';
import {GroupAction} from './group_action';
import {hostLoss} from './host_loss';
import {GroupPlanContext} from './group_plan_context';
import {computeRepairCosts} from './compute_repair_costs';
import {RepairOption} from './repair_option';
import {ReplicaDemand} from './replica_demand';

const MS_PER_SECOND = 1_000;
/** Approximate time that a restarted member, or a host of a service, needs to join. */
const REJOIN_MS = 1_000;

type Member = Group['members'][number];
type CreateAction = (
  group: Group,
  lost: readonly Member[],
  context: GroupPlanContext,
) => GroupAction | undefined;

/**
 * Computes the cost of every repair option and plans the cheapest. Pure function.
 *
 * @returns undefined to wait
 * @example
 * const action = planRepair(group, lostMembers, context);
 */
export function planRepair(
  group: Group,
  lost: readonly Member[],
  context: GroupPlanContext,
): GroupAction | undefined {
  const demand = context.demands.find(
    other => other.kind === group.kind && other.name === group.name,
  );
  if (!demand) {
    return createRemoval(
      group,
      `${group.name} is not in the bundle and lost members`,
    );
  }
  const options = computeRepairCosts(
    describeBrokenGroup(group, lost, demand, context),
  );
  const action = PLAN_BY_ACTION[options[0].action](group, lost, context);
  const lostIds = lost.map(member => member.hostId).join(' ');
  return (
    action && {
      ...action,
      reason: `lost ${lostIds}: ${describeOptions(options)}`,
    }
  );
}

const PLAN_BY_ACTION: Record<RepairOption['action'], CreateAction> = {
  wait: () => undefined,
  spare: (group, lost, context) => {
    const spares = context.free.allocate(
      {...group, groupId: group.id},
      lost.length,
    );
    const kept = group.members.filter(member => !lost.includes(member));
    const members = [...kept, ...(spares ?? []).map(createMember)];
    const repaired = {...group, epoch: group.epoch + 1, members};
    return spares && {type: 'set-group', group: repaired, reason: ''};
  },
  rebuild: group => createRemoval(group, ''),
  'break-up': group => createRemoval(group, ''),
  take: (group, _lost, context) => {
    const donor = findDonor(group, context);
    return (
      donor && {
        type: 'drain-group',
        groupId: donor.id,
        epoch: donor.epoch,
        reason: '',
      }
    );
  },
};

function describeBrokenGroup(
  group: Group,
  lost: readonly Member[],
  demand: ReplicaDemand,
  context: GroupPlanContext,
): BrokenGroup {
  const {input, hosts, free, demands} = context;
  const hostViews = lost.map(member => hosts.get(member.hostId));
  const losses = lost.map((member, at) =>
    hostLoss.find(member, hostViews[at], input.now),
  );
  const accelerators = group.members.map(
    member => hosts.get(member.hostId)?.report.backend?.accelerators ?? 1,
  );
  const donor = findDonor(group, context);
  const loadMs = demand.loadSeconds * MS_PER_SECOND;
  const areSparesLoaded =
    free.countLoaded({...group, groupId: group.id}) >= lost.length;
  const isRejoin = lost.every((_, at) => losses[at]?.hasRestarted);
  const createRequirement = (domain: string) => ({...demand, domain});
  return {
    silentMs: Math.min(...losses.map(loss => loss?.silentMs ?? 0)),
    hasRestarted: losses.some(loss => loss?.hasRestarted === true),
    recentLosses: Math.max(...hostViews.map(view => view?.losses ?? 0)),
    size: group.members.length,
    survivors: group.members.length - lost.length,
    acceleratorsPerHost: Math.max(1, ...accelerators),
    worth: demand.worth,
    spareLoadMs:
      isRejoin || areSparesLoaded
        ? REJOIN_MS
        : loadMs * computeLoadRounds(lost.length, context) + REJOIN_MS,
    rebuildLoadMs:
      loadMs * computeLoadRounds(group.members.length, context) + REJOIN_MS,
    hasSpares: free.countMatching({...group, groupId: group.id}) >= lost.length,
    canRebuild: free
      .listDomains()
      .filter(domain => domain !== group.domain)
      .some(
        domain =>
          free.countMatching(createRequirement(domain)) >= group.members.length,
      ),
    donorWorth:
      donor && demands.find(other => other.name === donor.name)?.worth,
    canReassignSurvivors: canReassignSurvivors(group, context),
    weights: input.bundle.weights,
  };
}

/** Returns the number of load rounds until this many more hosts have loaded. */
function computeLoadRounds(hosts: number, {input}: GroupPlanContext): number {
  const {concurrentLoads} = input.bundle.weightStore;
  const loading = input.groups
    .filter(group => group.kind === 'model' && isLoading(group, input.hosts))
    .reduce((sum, group) => sum + group.members.length, 0);
  return Math.ceil((loading + hosts) / concurrentLoads);
}

/** Checks whether a group is loading: no member is missing, but it does not serve yet. */
function isLoading(
  group: Group,
  hosts: GroupPlanContext['input']['hosts'],
): boolean {
  const first = hosts.find(
    host => host.report.hostId === group.members[0].hostId,
  )?.report;
  return first !== undefined && !first.isServing && first.missing.length === 0;
}

/** Finds the group of lowest worth in the domain, if that is below this group's worth and no group is draining. */
function findDonor(
  group: Group,
  {input, demands, brokenGroupIds}: GroupPlanContext,
): Group | undefined {
  const findWorth = (candidate: Group) =>
    demands.find(
      demand => demand.kind === 'model' && demand.name === candidate.name,
    )?.worth ?? 0;
  const domainGroups = input.groups.filter(
    other =>
      other.domain === group.domain &&
      other.kind === 'model' &&
      other.id !== group.id,
  );
  if (group.kind !== 'model' || domainGroups.some(other => other.isDraining)) {
    return undefined;
  }
  return domainGroups
    .filter(
      other =>
        !brokenGroupIds.has(other.id) && findWorth(other) < findWorth(group),
    )
    .sort((left, right) => findWorth(left) - findWorth(right))[0];
}

/** Checks whether another broken group of the domain could use the remaining members, or a replica is missing. */
function canReassignSurvivors(
  group: Group,
  context: GroupPlanContext,
): boolean {
  const {input, brokenGroupIds, demands, free} = context;
  const isOtherGroupBroken = input.groups.some(
    other =>
      other.id !== group.id &&
      other.domain === group.domain &&
      brokenGroupIds.has(other.id),
  );
  const isReplicaMissing = demands.some(demand => {
    const existing = input.groups.filter(
      other =>
        other.kind === demand.kind &&
        other.name === demand.name &&
        other.id !== group.id,
    );
    const availableHosts =
      free.countMatching({...demand, domain: group.domain}) +
      group.members.length -
      1;
    return (
      demand.kind === group.kind &&
      demand.name !== group.name &&
      existing.length < demand.replicas &&
      availableHosts >= demand.hostsPerReplica
    );
  });
  return isOtherGroupBroken || isReplicaMissing;
}

function createRemoval(group: Group, reason: string): GroupAction {
  return {type: 'remove-group', groupId: group.id, epoch: group.epoch, reason};
}

function describeOptions(options: readonly RepairOption[]): string {
  return options
    .map(({action, cost}) => `${action} costs ${Math.round(cost)}`)
    .join(', ');
}
