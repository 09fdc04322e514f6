import {IncomingMessage} from 'node:http';
import {Bundle} from '../protocol/bundle';
import {computeDigest} from '../protocol/compute_digest';

/**
 * Finds the workspace whose key a request carries.
 *
 * @returns undefined for a missing or unknown key
 * @example
 * const workspace = findWorkspace(request, bundle);
 */
export function findWorkspace(
  request: IncomingMessage,
  bundle: Bundle,
): Bundle['workspaces'][number] | undefined {
  const token = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1];
  if (!token) {
    return undefined;
  }
  // Keys are long random texts, so comparing their digests leaks nothing useful.
  const hash = computeDigest(token);
  return bundle.workspaces.find(known => known.keyHashes.includes(hash));
}
