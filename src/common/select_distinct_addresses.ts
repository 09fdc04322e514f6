import {ServerAddress} from './server_address';

/**
 * Returns each address once, in the order of the first occurrences.
 *
 * @example
 * const known = selectDistinctAddresses([...reported, ...seeds]);
 */
export function selectDistinctAddresses(
  addresses: readonly ServerAddress[],
): readonly ServerAddress[] {
  const byText = new Map<string, ServerAddress>();
  for (const address of addresses) {
    const text = address.toString();
    byText.set(text, byText.get(text) ?? address);
  }
  return [...byText.values()];
}
