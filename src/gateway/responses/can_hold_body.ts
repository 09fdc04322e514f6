import {ResponseHead} from '../response_head';
import {MAX_HELD_BYTES} from './max_held_bytes';

const NOT_MODIFIED = 304;

/**
 * Tells from the head of a response whether its body can be held until it is
 * complete, so that none of a body that is too long is read.
 *
 * @param announcedBytes the `content-length`; in response to HEAD, and with 304, it is that of a body that does not come
 * @example
 * canHoldBody(head, 'GET', 90_000_000); // false
 */
export function canHoldBody(
  {isEventStream, status}: Pick<ResponseHead, 'isEventStream' | 'status'>,
  method: string,
  announcedBytes: number,
): boolean {
  const hasBody = method !== 'HEAD' && status !== NOT_MODIFIED;
  return isEventStream || !hasBody || announcedBytes <= MAX_HELD_BYTES;
}
