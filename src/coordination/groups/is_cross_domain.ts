import {EngineGroup} from '../../protocol/engine_group';

/**
 * Checks whether the members of a group are in several fabric domains, as far as they are known.
 *
 * @param domains fabric domains of backend servers, by incarnation
 * @example
 * const slow = groups.filter(group => isCrossDomain(group, listHostDomains(backends)));
 */
export function isCrossDomain(
  {members}: EngineGroup,
  domains: ReadonlyMap<string, string | undefined>,
): boolean {
  const known = members.flatMap(
    ({incarnation}) => domains.get(incarnation) ?? [],
  );
  return new Set(known).size > 1;
}
