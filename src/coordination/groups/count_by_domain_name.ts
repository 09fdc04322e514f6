import {BackendView} from './backend_view';
import {splitByDomain} from './split_by_domain';

/**
 * Counts the engines of each fabric domain.
 *
 * @example
 * countByDomainName(input.backends).get('rack-1');
 */
export function countByDomainName(
  hosts: readonly BackendView[],
): Map<string, number> {
  return new Map(
    [...splitByDomain(hosts)].map(([domain, near]) => [domain, near.length]),
  );
}
