import {OperatorError} from './operator_error';

/**
 * Parses the value of a flag that takes a non-negative integer.
 *
 * @throws OperatorError naming the flag and the value
 * @example
 * parseWholeNumber('--from', '12'); // 12
 */
export function parseWholeNumber(flag: string, text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    const message = `${flag} is "${text}": expected a whole number`;
    throw new OperatorError({info: {kind: 'usage'}}, '%s', message);
  }
  return Number(text);
}
