import {EngineGroup} from './engine_group';

/**
 * Incarnations of a group's members in order, the head first.
 *
 * @example
 * const names = listMemberNames(group);
 */
export function listMemberIncarnations(
  group: Pick<EngineGroup, 'members'>,
): string[] {
  return group.members.map(member => member.incarnation);
}
