import {generateKeyPairSync} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {computeKeyId} from '../protocol/compute_key_id';
import {OperatorError} from './operator_error';
import {OperatorReporter} from './operator_reporter';

/**
 * Writes a new pair of signing keys, `NAME.pem` and `NAME.pub.pem`. Never
 * overwrites one.
 *
 * @throws OperatorError when a file is already there
 * @example
 * createKeys('alice', reporter);
 */
export function createKeys(name: string, reporter: OperatorReporter): void {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  const files = [`${name}.pem`, `${name}.pub.pem`];
  const texts = [
    privateKey.export({type: 'pkcs8', format: 'pem'}),
    publicKey.export({type: 'spki', format: 'pem'}),
  ];
  files.forEach((file, at) => {
    try {
      writeFileSync(file, texts[at], {flag: 'wx', mode: 0o600});
    } catch (error) {
      throw new OperatorError(
        {info: {kind: 'usage'}},
        '%s',
        (error as Error).message,
      );
    }
  });
  reporter.report({type: 'key-created', keyId: computeKeyId(publicKey), files});
}
