/** Plans the groups that a bundle requests and that do not exist yet. */
import {Group} from '../../protocol/group';
import {createMember} from './create_member';
import {GroupAction} from './group_action';
import {GroupPlanContext} from './group_plan_context';
import {ReplicaDemand} from './replica_demand';

/**
 * Plans the missing groups for one demand, as far as free hosts suffice.
 *
 * @example
 * const actions = planFormation(demand, context);
 */
export function planFormation(
  demand: ReplicaDemand,
  context: GroupPlanContext,
): GroupAction[] {
  const {input, free} = context;
  const existing = input.groups.filter(
    group =>
      group.kind === demand.kind &&
      group.name === demand.name &&
      !group.isDraining,
  );
  const usedIds = new Set(input.groups.map(group => group.id));
  const actions: GroupAction[] = [];
  while (existing.length + actions.length < demand.replicas) {
    const domain = findDomain(demand, context);
    const allocated =
      domain === undefined
        ? undefined
        : free.allocate({...demand, domain}, demand.hostsPerReplica);
    if (domain === undefined || !allocated) {
      break;
    }
    const id = findUnusedId(demand.name, usedIds);
    usedIds.add(id);
    const group: Group = {
      id,
      epoch: input.findEpoch(id) + 1,
      // Assigned when the group is committed.
      fencing: 0,
      kind: demand.kind,
      name: demand.name,
      domain,
      zone: allocated[0].report.zone,
      members: allocated.map(createMember),
      isDraining: false,
    };
    const count = existing.length + actions.length;
    const reason = `${demand.name} has ${count} of ${demand.replicas} replicas`;
    actions.push({type: 'set-group', group, reason});
  }
  return actions;
}

/** Best fit: the domain with the fewest matching hosts that are enough, so that large domains stay usable. */
function findDomain(
  demand: ReplicaDemand,
  {free}: GroupPlanContext,
): string | undefined {
  return free
    .listDomains()
    .map(domain => ({domain, count: free.countMatching({...demand, domain})}))
    .filter(({count}) => count >= demand.hostsPerReplica)
    .sort((left, right) => left.count - right.count)[0]?.domain;
}

function findUnusedId(name: string, usedIds: ReadonlySet<string>): string {
  let number = 1;
  while (usedIds.has(`${name}-${number}`)) {
    number += 1;
  }
  return `${name}-${number}`;
}
