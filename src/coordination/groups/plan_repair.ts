/** Decides what to do about a group that lost members. */
import {Group} from '../../protocol/group';
import {BrokenGroup} from './broken_group';
import {createMember} from './create_member';
import {GroupAction} from './group_action';
import {hostLoss} from './host_loss';
import {PlanContext} from './plan_context';
import {computeRepairCosts} from './compute_repair_costs';
import {RepairOption} from './repair_option';
import {ReplicaDemand} from './replica_demand';

const MS_PER_SECOND = 1_000;
/** A member that comes back empty, or hosts of a service, need about this long. */
const REJOIN_MS = 1_000;

type Member = Group['members'][number];
type Plan = (
  group: Group,
  lost: readonly Member[],
  context: PlanContext,
) => GroupAction | undefined;

/**
 * Prices every option and plans the cheapest; a pure function.
 *
 * @returns undefined to wait
 * @example
 * const action = planRepair(group, lostMembers, context);
 */
export function planRepair(
  group: Group,
  lost: readonly Member[],
  context: PlanContext,
): GroupAction | undefined {
  const demand = context.demands.find(
    wanted => wanted.kind === group.kind && wanted.name === group.name,
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
  const action = PLANS[options[0].action](group, lost, context);
  const lostIds = lost.map(member => member.hostId).join(' ');
  return (
    action && {
      ...action,
      reason: `lost ${lostIds}: ${describeOptions(options)}`,
    }
  );
}

const PLANS: Record<RepairOption['action'], Plan> = {
  wait: () => undefined,
  spare: (group, lost, context) => {
    const spares = context.free.take(
      {...group, groupId: group.id},
      lost.length,
    );
    const kept = group.members.filter(member => !lost.includes(member));
    const members = [...kept, ...(spares ?? []).map(createMember)];
    const next = {...group, epoch: group.epoch + 1, members};
    return spares && {type: 'set-group', group: next, reason: ''};
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
  context: PlanContext,
): BrokenGroup {
  const {input, hosts, free, demands} = context;
  const views = lost.map(member => hosts.get(member.hostId));
  const losses = lost.map((member, at) =>
    hostLoss.find(member, views[at], input.now),
  );
  const accelerators = group.members.map(
    member => hosts.get(member.hostId)?.report.backend?.accelerators ?? 1,
  );
  const donor = findDonor(group, context);
  const loadMs = demand.loadSeconds * MS_PER_SECOND;
  const hasLoadedSpares =
    free.countLoaded({...group, groupId: group.id}) >= lost.length;
  const isRejoin = lost.every((_, at) => losses[at]?.hasForgotten);
  const rebuildWant = (domain: string) => ({...demand, domain});
  return {
    silentMs: Math.min(...losses.map(loss => loss?.silentMs ?? 0)),
    hasForgotten: losses.some(loss => loss?.hasForgotten === true),
    losses: Math.max(...views.map(view => view?.losses ?? 0)),
    size: group.members.length,
    survivors: group.members.length - lost.length,
    acceleratorsPerHost: Math.max(1, ...accelerators),
    worth: demand.worth,
    spareLoadMs:
      isRejoin || hasLoadedSpares
        ? REJOIN_MS
        : loadMs * computeQueue(lost.length, context) + REJOIN_MS,
    rebuildLoadMs:
      loadMs * computeQueue(group.members.length, context) + REJOIN_MS,
    hasSpares: free.count({...group, groupId: group.id}) >= lost.length,
    canRebuild: free
      .listDomains()
      .filter(domain => domain !== group.domain)
      .some(domain => free.count(rebuildWant(domain)) >= group.members.length),
    donorWorth:
      donor && demands.find(wanted => wanted.name === donor.name)?.worth,
    hasUseForSurvivors: hasUseForSurvivors(group, context),
    weights: input.bundle.weights,
  };
}

/** How many times the loading time passes until this many more hosts have loaded. */
function computeQueue(hosts: number, {input}: PlanContext): number {
  const {concurrentLoads} = input.bundle.weightStore;
  const loading = input.groups
    .filter(group => group.kind === 'model' && isStarting(group, input.hosts))
    .reduce((sum, group) => sum + group.members.length, 0);
  return Math.ceil((loading + hosts) / concurrentLoads);
}

/** Every member is well, but the group does not serve yet: it is loading. */
function isStarting(
  group: Group,
  hosts: PlanContext['input']['hosts'],
): boolean {
  const first = hosts.find(
    host => host.report.hostId === group.members[0].hostId,
  )?.report;
  return first !== undefined && !first.isServing && first.missing.length === 0;
}

/** The group of lowest worth in the domain, if it is below this one's and nothing drains yet. */
function findDonor(
  group: Group,
  {input, demands, brokenIds}: PlanContext,
): Group | undefined {
  const findWorth = (candidate: Group) =>
    demands.find(
      wanted => wanted.kind === 'model' && wanted.name === candidate.name,
    )?.worth ?? 0;
  const neighbours = input.groups.filter(
    other =>
      other.domain === group.domain &&
      other.kind === 'model' &&
      other.id !== group.id,
  );
  if (group.kind !== 'model' || neighbours.some(other => other.isDraining)) {
    return undefined;
  }
  return neighbours
    .filter(
      other => !brokenIds.has(other.id) && findWorth(other) < findWorth(group),
    )
    .sort((left, right) => findWorth(left) - findWorth(right))[0];
}

/** Another broken group of the domain could take them, or a replica is missing. */
function hasUseForSurvivors(group: Group, context: PlanContext): boolean {
  const {input, brokenIds, demands, free} = context;
  const isNeighbourBroken = input.groups.some(
    other =>
      other.id !== group.id &&
      other.domain === group.domain &&
      brokenIds.has(other.id),
  );
  const isReplicaMissing = demands.some(demand => {
    const standing = input.groups.filter(
      other =>
        other.kind === demand.kind &&
        other.name === demand.name &&
        other.id !== group.id,
    );
    const reachable =
      free.count({...demand, domain: group.domain}) + group.members.length - 1;
    return (
      demand.kind === group.kind &&
      demand.name !== group.name &&
      standing.length < demand.replicas &&
      reachable >= demand.hostsPerReplica
    );
  });
  return isNeighbourBroken || isReplicaMissing;
}

function createRemoval(group: Group, reason: string): GroupAction {
  return {type: 'remove-group', groupId: group.id, epoch: group.epoch, reason};
}

function describeOptions(options: readonly RepairOption[]): string {
  return options
    .map(({action, cost}) => `${action} costs ${Math.round(cost)}`)
    .join(', ');
}
