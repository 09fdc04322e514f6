import {IncomingMessage} from 'node:http';
import {hasRepeatedHost} from './has_repeated_host';

/** Node.js accepts tabs and form feeds in the target of a request, and no client sends them on. */
const INVALID_TARGET = /[^\x21-\xff]/;

/**
 * Finds what HTTP forbids in the head of a request and Node.js accepts.
 *
 * @returns undefined for a valid head
 * @example
 * const fault = findHeadFault(message); // 'there is more than one host header'
 */
export function findHeadFault(
  message: Pick<IncomingMessage, 'rawHeaders' | 'url'>,
): string | undefined {
  if (hasRepeatedHost(message)) {
    return 'there is more than one host header';
  }
  return INVALID_TARGET.test(message.url ?? '')
    ? 'the path has a character that HTTP does not allow'
    : undefined;
}
