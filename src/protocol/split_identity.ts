/**
 * Splits the identity of a control process into its name and the ID of its disk.
 *
 * @example
 * splitIdentity('control-a/1f0c'); // {name: 'control-a', disk: '1f0c'}
 */
export function splitIdentity(identity: string): {name: string; disk: string} {
  const slash = identity.indexOf('/');
  return slash < 0
    ? {name: identity, disk: ''}
    : {name: identity.slice(0, slash), disk: identity.slice(slash + 1)};
}
