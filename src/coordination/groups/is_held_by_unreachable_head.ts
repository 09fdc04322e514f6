import {EngineGroup} from '../../protocol/engine_group';
import {EnginePlanInput} from './engine_plan_input';

/**
 * True for a group that is being taken apart and whose head cannot be asked to
 * let go: its members are of no use for seconds. A new leader has not heard
 * from such a head at all.
 *
 * @example
 * const leaving = groups.filter(group => group.isEnding && !isHeldBySilentHead(group, input));
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
