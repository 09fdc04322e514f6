import {readFileSync} from 'node:fs';
import {SignedBundle} from '../protocol/signed_bundle';
import {OperatorError} from './operator_error';

/**
 * Reads a signed bundle. Its signature is not verified here but by control.
 *
 * @throws OperatorError when the file cannot be read or is not a signed bundle
 * @example
 * const signed = readSignedBundle('bundle.signed.json');
 */
export function readSignedBundle(file: string): SignedBundle {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const message = `${file} is no signed bundle: ${(error as Error).message}`;
    throw new OperatorError({info: {kind: 'usage'}}, '%s', message);
  }
  const parsed = SignedBundle.safeParse(value);
  if (!parsed.success) {
    const message = `${file} is no signed bundle; make one with "whinreel bundle sign"`;
    throw new OperatorError({info: {kind: 'usage'}}, '%s', message);
  }
  return parsed.data;
}
