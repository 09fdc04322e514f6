/** Decides which groups to form, repair, drain and remove. */
import {Bundle} from '../protocol/bundle';
import {Group} from '../protocol/group';
import {GroupAction} from './group_action';
import {HostView} from './host_view';

/** Silence after which a host counts as lost; several report intervals. */
const LOST_AFTER_MS = 1_500;
/** How long a broken group without a spare waits for its member to return. */
const WAIT_FOR_RETURN_MS = 5_000;

/** What a plan is made from. */
interface GroupPlanInput {
  readonly bundle: Bundle;
  readonly groups: readonly Group[];
  readonly hosts: readonly HostView[];
  /** Last epoch of a group id, 0 when it never was. */
  readonly findEpoch: (groupId: string) => number;
  readonly now: number;
}

/** One kind of replica that the bundle asks for. */
interface Demand {
  readonly kind: Group['kind'];
  readonly name: string;
  readonly replicas: number;
  readonly hostsPerReplica: number;
}

/**
 * Plans the next changes; a pure function of what is known now.
 *
 * @returns changes to commit, in order; none when the fleet is as it should be
 * @example
 * const actions = planGroups({bundle, groups, hosts, findEpoch, now: clock.now()});
 */
export function planGroups(input: GroupPlanInput): GroupAction[] {
  const hosts = new Map(input.hosts.map(host => [host.report.hostId, host]));
  const free = listFreeHosts(input);
  const owners = mapOwners(input.groups);
  const demands = listDemands(input.bundle);
  const actions: GroupAction[] = [];
  for (const group of input.groups) {
    const action = planGroup(group, {input, hosts, free, demands, owners});
    if (action) {
      actions.push(action);
    }
  }
  for (const demand of demands) {
    actions.push(
      ...planFormation(
        demand,
        input,
        free.filter(host => !owners.has(host.report.hostId)),
      ),
    );
  }
  return actions;
}

/** What is shared while one plan is made. `free` shrinks as hosts are given out. */
interface PlanContext {
  readonly input: GroupPlanInput;
  readonly hosts: ReadonlyMap<string, HostView>;
  readonly free: HostView[];
  /** Group of each host that is named in one, under whatever incarnation. */
  readonly owners: ReadonlyMap<string, string>;
  readonly demands: readonly Demand[];
}

function planGroup(
  group: Group,
  context: PlanContext,
): GroupAction | undefined {
  const target = {groupId: group.id, epoch: group.epoch};
  const lost = group.members.filter(member => isLost(member, context));
  if (lost.length > 0) {
    return group.isDraining
      ? {
          type: 'remove-group',
          ...target,
          reason: 'a member was lost while it drained',
        }
      : planRepair(group, lost, context);
  }
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

function planRepair(
  group: Group,
  lost: Group['members'],
  context: PlanContext,
): GroupAction | undefined {
  const lostIds = lost.map(member => member.hostId);
  const kept = group.members.filter(member => !lostIds.includes(member.hostId));
  const usable = context.free.filter(
    host => (context.owners.get(host.report.hostId) ?? group.id) === group.id,
  );
  const spares = takeFree(usable, group, lost.length);
  spares?.forEach(spare => context.free.splice(context.free.indexOf(spare), 1));
  if (spares) {
    const members = [...kept, ...spares.map(createMember)];
    const spareIds = spares.map(spare => spare.report.hostId).join(' ');
    return {
      type: 'set-group',
      group: {...group, epoch: group.epoch + 1, members},
      reason: `lost ${lostIds.join(' ')}; took ${spareIds} in the same domain`,
    };
  }
  const lastSeen = Math.min(
    ...lostIds.map(id => context.hosts.get(id)?.seenAt ?? -Infinity),
  );
  if (context.input.now - lastSeen < WAIT_FOR_RETURN_MS) {
    return undefined;
  }
  return {
    type: 'remove-group',
    groupId: group.id,
    epoch: group.epoch,
    reason: `lost ${lostIds.join(' ')} for ${WAIT_FOR_RETURN_MS} ms and no spare in ${group.domain}`,
  };
}

function planFormation(
  demand: Demand,
  input: GroupPlanInput,
  free: HostView[],
): GroupAction[] {
  const standing = input.groups.filter(
    group =>
      group.kind === demand.kind &&
      group.name === demand.name &&
      !group.isDraining,
  );
  const usedIds = new Set(input.groups.map(group => group.id));
  const actions: GroupAction[] = [];
  while (standing.length + actions.length < demand.replicas) {
    const domain = findDomain(demand, free);
    if (domain === undefined) {
      break;
    }
    const taken =
      takeFree(free, {...demand, domain}, demand.hostsPerReplica) ?? [];
    const id = findFreeId(demand, usedIds);
    usedIds.add(id);
    actions.push({
      type: 'set-group',
      group: {
        id,
        epoch: input.findEpoch(id) + 1,
        kind: demand.kind,
        name: demand.name,
        domain,
        zone: taken[0].report.zone,
        members: taken.map(createMember),
        isDraining: false,
      },
      reason: `${demand.name} has ${standing.length + actions.length} of ${demand.replicas} replicas`,
    });
  }
  return actions;
}

function findDrainReason(
  group: Group,
  context: PlanContext,
): string | undefined {
  const demand = context.demands.find(
    wanted => wanted.kind === group.kind && wanted.name === group.name,
  );
  if (!demand) {
    return `${group.name} is not in the bundle`;
  }
  if (group.members.length !== demand.hostsPerReplica) {
    return `the bundle wants ${demand.hostsPerReplica} hosts for each replica`;
  }
  const same = context.input.groups.filter(
    other =>
      other.kind === group.kind &&
      other.name === group.name &&
      !other.isDraining,
  );
  if (same.indexOf(group) >= demand.replicas) {
    return `the bundle wants ${demand.replicas} replicas`;
  }
  const leaving = group.members.find(member =>
    isLeaving(context.hosts.get(member.hostId)),
  );
  return leaving ? `${leaving.hostId} is leaving` : undefined;
}

function isLost(
  member: Group['members'][number],
  {hosts, input}: PlanContext,
): boolean {
  const host = hosts.get(member.hostId);
  if (!host || host.report.incarnation !== member.incarnation) {
    return true;
  }
  return (
    input.now - host.seenAt > LOST_AFTER_MS || host.report.backend === null
  );
}

function isLeaving(host: HostView | undefined): boolean {
  return host !== undefined && (host.report.isLeaving || host.isDrained);
}

function listFreeHosts(input: GroupPlanInput): HostView[] {
  const owned = new Set(
    input.groups.flatMap(group =>
      group.members.map(member => `${member.hostId}/${member.incarnation}`),
    ),
  );
  return (
    input.hosts
      .filter(host => input.now - host.seenAt <= LOST_AFTER_MS)
      .filter(host => host.report.backend !== null && !isLeaving(host))
      // Only a host that itself says it belongs to no group may join another.
      .filter(host => host.report.assignment === null)
      .filter(
        host => !owned.has(`${host.report.hostId}/${host.report.incarnation}`),
      )
      .sort((left, right) =>
        left.report.hostId < right.report.hostId ? -1 : 1,
      )
  );
}

function mapOwners(groups: readonly Group[]): Map<string, string> {
  return new Map(
    groups.flatMap(group =>
      group.members.map(member => [member.hostId, group.id] as const),
    ),
  );
}

function takeFree(
  free: HostView[],
  wanted: {kind: string; name: string; domain: string},
  count: number,
): HostView[] | undefined {
  const taken = free.filter(host => isFit(host, wanted)).slice(0, count);
  if (taken.length < count) {
    return undefined;
  }
  for (const host of taken) {
    free.splice(free.indexOf(host), 1);
  }
  return taken;
}

function findDomain(
  demand: Demand,
  free: readonly HostView[],
): string | undefined {
  const domains = [...new Set(free.map(host => host.report.domain))];
  return domains.find(domain => {
    const fitting = free.filter(host => isFit(host, {...demand, domain}));
    return fitting.length >= demand.hostsPerReplica;
  });
}

function isFit(
  host: HostView,
  wanted: {kind: string; name: string; domain: string},
): boolean {
  const {backend, domain} = host.report;
  return (
    backend?.kind === wanted.kind &&
    backend.name === wanted.name &&
    domain === wanted.domain
  );
}

function findFreeId(demand: Demand, usedIds: ReadonlySet<string>): string {
  let number = 1;
  while (usedIds.has(`${demand.name}-${number}`)) {
    number += 1;
  }
  return `${demand.name}-${number}`;
}

function createMember({report}: HostView): Group['members'][number] {
  return {
    hostId: report.hostId,
    incarnation: report.incarnation,
    address: report.address,
  };
}

function listDemands(bundle: Bundle): Demand[] {
  return [
    ...bundle.models.map(model => ({kind: 'model' as const, ...model})),
    ...bundle.services.map(service => ({
      kind: 'service' as const,
      ...service,
      hostsPerReplica: 1,
    })),
  ];
}
