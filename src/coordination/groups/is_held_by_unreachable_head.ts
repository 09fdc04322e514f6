import {EngineGroup} from '../../protocol/engine_group';
import {EnginePlanInput} from './engine_plan_input';

/**
 * Checks whether an ending group has a head that cannot be asked to release its
 * members, so that they stay unusable for some seconds. A new leader may not have
 * heard from such a head at all.
 *
 * @example
 * const released = groups.filter(group => group.isEnding && !isHeldByUnreachableHead(group, input));
 */
export function isHeldByUnreachableHead(
  {isEnding, isReleased, members}: EngineGroup,
  {backends, isLost}: Pick<EnginePlanInput, 'backends' | 'isLost'>,
): boolean {
  const head = members[0].incarnation;
  const isKnown = backends.some(
    ({registration}) => registration.incarnation === head,
  );
  return isEnding && (isReleased || !isKnown || isLost(head));
}
