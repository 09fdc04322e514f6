import {BackendView} from './backend_view';

/**
 * How many engines each fabric domain has; backend servers without one are none.
 *
 * @example
 * const usual = computeUsualGroups(profile, countByDomain(backends));
 */
export function countByDomain(backends: readonly BackendView[]): number[] {
  const counts = new Map<string, number>();
  for (const {registration} of backends) {
    const {domain} = registration;
    if (domain !== undefined) {
      counts.set(domain, (counts.get(domain) ?? 0) + 1);
    }
  }
  return [...counts.values()];
}
