/** Losses that come by themselves spread with the square root of the hosts that may be lost. */
const HOSTS_PER_SQUARED_SPARE = 2;

/**
 * Hosts of one fabric domain that are kept to take the place of lost members: 2 of 8,
 * 3 of 27, 4 of 37. They cover the losses until groups are whole again, which grow as
 * the square root of the hosts and not with them: at a fixed quarter 106 of 370 hosts
 * served nobody while the larger model's engines were overloaded.
 *
 * @example
 * const spares = computeSpares(37);
 */
export function computeSpares(hosts: number): number {
  return Math.floor(Math.sqrt(hosts / HOSTS_PER_SQUARED_SPARE));
}
