import {BackendView} from './backend_view';

/**
 * Counts the engines in each fabric domain; backend servers without one are not engines.
 *
 * @example
 * const desiredGroups = computeDesiredGroups(profile, countByDomain(backends));
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
