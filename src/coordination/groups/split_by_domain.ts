import {BackendView} from './backend_view';

/**
 * Splits engines by fabric domain, in the order of the engines.
 *
 * @example
 * const byDomain = splitByDomain(free);
 * byDomain.get('rack-1');
 */
export function splitByDomain(
  hosts: readonly BackendView[],
): Map<string, BackendView[]> {
  const byDomain = new Map<string, BackendView[]>();
  for (const host of hosts) {
    const domain = host.registration.domain ?? '';
    const known = byDomain.get(domain);
    if (known) {
      known.push(host);
    } else {
      byDomain.set(domain, [host]);
    }
  }
  return byDomain;
}
