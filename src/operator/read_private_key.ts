import {KeyObject, createPrivateKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {OperatorError} from './operator_error';

/**
 * Reads an operator's private Ed25519 key.
 *
 * @throws OperatorError when the file cannot be read or holds no Ed25519 private key
 * @example
 * const key = readPrivateKey('alice.pem');
 */
export function readPrivateKey(file: string): KeyObject {
  let key: KeyObject;
  try {
    key = createPrivateKey(readFileSync(file));
  } catch (error) {
    const message = `cannot read a private key from ${file}: ${(error as Error).message}`;
    throw new OperatorError({info: {kind: 'usage'}}, '%s', message);
  }
  if (key.asymmetricKeyType !== 'ed25519') {
    const message = `${file} holds a key of type ${key.asymmetricKeyType}, not ed25519`;
    throw new OperatorError({info: {kind: 'usage'}}, '%s', message);
  }
  return key;
}
