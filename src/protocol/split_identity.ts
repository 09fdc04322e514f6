/**
 * Splits the identity of a control process into its name and that of its disk.
 *
 * @example
 * splitIdentity('control-a/1f0c'); // {name: 'control-a', disk: '1f0c'}
 */
export function splitIdentity(identity: string): {name: string; disk: string} {
  const at = identity.indexOf('/');
  return at < 0
    ? {name: identity, disk: ''}
    : {name: identity.slice(0, at), disk: identity.slice(at + 1)};
}
