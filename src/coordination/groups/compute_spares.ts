/** Independent losses vary with the square root of the number of hosts. */
const HOSTS_PER_SQUARED_SPARE = 2;

/**
 * Returns how many hosts of a fabric domain are kept as spares for lost members. Spares
 * cover the losses until groups are repaired. These grow with the square root of the
 * number of hosts, so a proportional reserve would leave hosts of a large domain idle
 * while its groups are overloaded.
 *
 * @example
 * computeSpares(8); // 2
 * computeSpares(27); // 3
 * computeSpares(37); // 4
 */
export function computeSpares(hosts: number): number {
  return Math.floor(Math.sqrt(hosts / HOSTS_PER_SQUARED_SPARE));
}
