import {EngineGroup} from './engine_group';

/**
 * Lists the incarnations of a group's members in order, the head first.
 *
 * @example
 * const incarnations = listMemberIncarnations(group);
 */
export function listMemberIncarnations(
  group: Pick<EngineGroup, 'members'>,
): string[] {
  return group.members.map(member => member.incarnation);
}
