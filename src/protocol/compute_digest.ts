import {createHash} from 'node:crypto';

/**
 * Computes the SHA-256 of text or bytes, in hex.
 *
 * @example
 * computeDigest('secret-key');
 */
export function computeDigest(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}
