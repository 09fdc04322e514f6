/** Forms the groups that a bundle asks for and that are not there. */
import {Group} from '../../protocol/group';
import {createMember} from './create_member';
import {GroupAction} from './group_action';
import {PlanContext} from './plan_context';
import {ReplicaDemand} from './replica_demand';

/**
 * Plans new groups for one demand, as far as free hosts reach.
 *
 * @example
 * const actions = planFormation(demand, context);
 */
export function planFormation(
  demand: ReplicaDemand,
  context: PlanContext,
): GroupAction[] {
  const {input, free} = context;
  const standing = input.groups.filter(
    group =>
      group.kind === demand.kind &&
      group.name === demand.name &&
      !group.isDraining,
  );
  const usedIds = new Set(input.groups.map(group => group.id));
  const actions: GroupAction[] = [];
  while (standing.length + actions.length < demand.replicas) {
    const domain = findDomain(demand, context);
    const taken =
      domain === undefined
        ? undefined
        : free.take({...demand, domain}, demand.hostsPerReplica);
    if (domain === undefined || !taken) {
      break;
    }
    const id = findFreeId(demand.name, usedIds);
    usedIds.add(id);
    const group: Group = {
      id,
      epoch: input.findEpoch(id) + 1,
      // Set when the group is committed.
      fencing: 0,
      kind: demand.kind,
      name: demand.name,
      domain,
      zone: taken[0].report.zone,
      members: taken.map(createMember),
      isDraining: false,
    };
    const count = standing.length + actions.length;
    const reason = `${demand.name} has ${count} of ${demand.replicas} replicas`;
    actions.push({type: 'set-group', group, reason});
  }
  return actions;
}

/** The domain with the fewest hosts that still has enough, so that large gaps stay usable. */
function findDomain(
  demand: ReplicaDemand,
  {free}: PlanContext,
): string | undefined {
  return free
    .listDomains()
    .map(domain => ({domain, count: free.count({...demand, domain})}))
    .filter(({count}) => count >= demand.hostsPerReplica)
    .sort((left, right) => left.count - right.count)[0]?.domain;
}

function findFreeId(name: string, usedIds: ReadonlySet<string>): string {
  let number = 1;
  while (usedIds.has(`${name}-${number}`)) {
    number += 1;
  }
  return `${name}-${number}`;
}
