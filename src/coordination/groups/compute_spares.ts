/** Losses that come by themselves spread with the square root of the hosts that may be lost. */
const HOSTS_PER_SQUARED_SPARE = 2;

/**
 * Hosts of one fabric domain that are kept to take the place of lost members: 2 of 8,
 * 3 of 27, 4 of 37. They cover the losses until groups are whole again, which grow as
 * the square root of the hosts and not with them, so that a large domain does not keep
 * hosts idle while its groups are full.
 *
 * @example
 * const spares = computeSpares(37);
 */
export function computeSpares(hosts: number): number {
  return Math.floor(Math.sqrt(hosts / HOSTS_PER_SQUARED_SPARE));
}
