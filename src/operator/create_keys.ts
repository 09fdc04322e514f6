import {generateKeyPairSync} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {computeKeyId} from '../protocol/compute_key_id';
import {OperatorError} from './operator_error';
import {OperatorReporter} from './operator_reporter';

/**
 * Writes a new Ed25519 key pair to `NAME.pem` and `NAME.pub.pem`, without
 * overwriting existing files.
 *
 * @throws OperatorError when a file exists already or cannot be written
 * @example
 * createKeys('alice', reporter);
 */
export function createKeys(name: string, reporter: OperatorReporter): void {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  const files = [`${name}.pem`, `${name}.pub.pem`];
  const pems = [
    privateKey.export({type: 'pkcs8', format: 'pem'}),
    publicKey.export({type: 'spki', format: 'pem'}),
  ];
  files.forEach((file, index) => {
    try {
      writeFileSync(file, pems[index], {flag: 'wx', mode: 0o600});
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
