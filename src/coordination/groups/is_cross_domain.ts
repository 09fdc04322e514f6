import {EngineGroup} from '../../protocol/engine_group';
import {EnginePlanInput} from './engine_plan_input';

/**
 * Checks whether the members of a group are in several fabric domains, as far as they are known.
 *
 * @example
 * const slow = input.groups.filter(group => isCrossDomain(group, input));
 */
export function isCrossDomain(
  {members}: EngineGroup,
  {backends}: Pick<EnginePlanInput, 'backends'>,
): boolean {
  const ids = new Set(members.map(({incarnation}) => incarnation));
  const domains = new Set(
    backends
      .filter(({registration}) => ids.has(registration.incarnation))
      .map(({registration}) => registration.domain),
  );
  return domains.size > 1;
}
