/** Two simple repair policies against which the planner is scored. */
import {createMember} from '../src/coordination/groups/create_member';
import {FreeHosts} from '../src/coordination/groups/free_hosts';
import {GroupAction} from '../src/coordination/groups/group_action';
import {GroupPlanInput} from '../src/coordination/groups/group_plan_input';
import {hostLoss} from '../src/coordination/groups/host_loss';
import {listReplicaDemands} from '../src/coordination/groups/list_replica_demands';
import {GroupPlanContext} from '../src/coordination/groups/group_plan_context';
import {planFormation} from '../src/coordination/groups/plan_formation';
import {Group} from '../src/protocol/group';
import {RepairPolicy} from './fleet_simulator';

type Member = Group['members'][number];
type RepairFunction = (
  group: Group,
  lost: readonly Member[],
  context: GroupPlanContext,
) => GroupAction | undefined;

/**
 * `any spare at once` replaces a lost member immediately, and moves the group to
 * another domain when its own has no spare. `wait for return` replaces a lost
 * member only once its host reports again.
 */
export const baselinePolicies: Readonly<
  Record<'any spare at once' | 'wait for return', RepairPolicy>
> = {
  'any spare at once': createPolicy((group, lost, context) => {
    const replacement = replaceMembers(group, lost, context);
    if (replacement) {
      return replacement;
    }
    const canRebalance = context.free
      .listDomains()
      .filter(domain => domain !== group.domain)
      .some(
        domain =>
          context.free.countMatching({...group, domain}) >=
          group.members.length,
      );
    const {id: groupId, epoch} = group;
    return canRebalance
      ? {type: 'remove-group', groupId, epoch, reason: 'moves'}
      : undefined;
  }),
  'wait for return': createPolicy((group, lost, context) => {
    const hasReturned = lost.every(member => {
      const host = context.hosts.get(member.hostId);
      return host !== undefined && hostLoss.isAlive(host, context.input.now);
    });
    return hasReturned ? replaceMembers(group, lost, context) : undefined;
  }),
};

function replaceMembers(
  group: Group,
  lost: readonly Member[],
  context: GroupPlanContext,
): GroupAction | undefined {
  const spares = context.free.allocate(
    {...group, groupId: group.id},
    lost.length,
  );
  const survivors = group.members.filter(member => !lost.includes(member));
  const members = [...survivors, ...(spares ?? []).map(createMember)];
  const next = {...group, epoch: group.epoch + 1, members};
  return spares && {type: 'set-group', group: next, reason: 'replaced'};
}

function createPolicy(repair: RepairFunction): RepairPolicy {
  const plan = (input: GroupPlanInput) => {
    const hosts = new Map(input.hosts.map(host => [host.report.hostId, host]));
    const demands = listReplicaDemands(input.bundle);
    const free = FreeHosts.create(input);
    const context: GroupPlanContext = {
      input,
      hosts,
      free,
      demands,
      brokenGroupIds: new Set(),
    };
    const repairs = input.groups.flatMap(group => {
      const lost = group.members.filter(member =>
        hostLoss.find(member, hosts.get(member.hostId), input.now),
      );
      const action = lost.length > 0 ? repair(group, lost, context) : undefined;
      return action ? [action] : [];
    });
    return [
      ...repairs,
      ...demands.flatMap(demand => planFormation(demand, context)),
    ];
  };
  return {plan};
}
