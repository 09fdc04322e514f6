import {KeyObject, createPublicKey} from 'node:crypto';
import {computeDigest} from './compute_digest';

const KEY_ID_LENGTH = 16;

/**
 * Computes the fingerprint that identifies a signing key.
 *
 * @param key a private or public Ed25519 key
 * @example
 * computeKeyId(createPublicKey(pem)); // '3f2a...'
 */
export function computeKeyId(key: KeyObject): string {
  const publicKey = key.type === 'private' ? createPublicKey(key) : key;
  return computeDigest(publicKey.export({type: 'spki', format: 'der'})).slice(
    0,
    KEY_ID_LENGTH,
  );
}
