import {ServerAddress} from './server_address';

/**
 * Joins lists of addresses, each address once.
 *
 * @example
 * const known = mergeAddresses(voters, seeds);
 */
export function mergeAddresses(
  ...lists: ReadonlyArray<readonly ServerAddress[]>
): ServerAddress[] {
  const byText = new Map(lists.flat().map(each => [String(each), each]));
  return [...byText.values()];
}
