import {KeyObject, createPublicKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {UsageError} from './usage_error';

/**
 * Reads the operators' Ed25519 public keys.
 *
 * @param files PEM files, comma-separated
 * @throws UsageError when a file cannot be read or holds no Ed25519 public key
 * @example
 * const keys = loadPublicKeys('alice.pub.pem,bob.pub.pem');
 */
export function loadPublicKeys(files: string): KeyObject[] {
  return files
    .split(',')
    .filter(file => file !== '')
    .map(file => {
      let key: KeyObject;
      try {
        key = createPublicKey(readFileSync(file));
      } catch (error) {
        throw new UsageError(
          'cannot read a public key from %s: %s',
          file,
          (error as Error).message,
        );
      }
      if (key.asymmetricKeyType !== 'ed25519') {
        throw new UsageError(
          '%s holds a key of type %s, not ed25519',
          file,
          key.asymmetricKeyType,
        );
      }
      return key;
    });
}
