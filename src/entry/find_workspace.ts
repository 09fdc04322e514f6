import {IncomingMessage} from 'node:http';
import {Bundle} from '../protocol/bundle';
import {computeDigest} from '../protocol/compute_digest';

/**
 * Finds the workspace that the bearer token of a request belongs to.
 *
 * @returns undefined for a missing or unknown token
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
  // Keys are long random strings: comparing their digests in variable time leaks nothing useful.
  const hash = computeDigest(token);
  return bundle.workspaces.find(known => known.keyHashes.includes(hash));
}
