import {ResponseHead} from '../response_head';
import {RejectionCause} from './rejection_cause';

/** Statuses that tell a caller that its request was not executed and never will be. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses of responses that may state that the request was not executed. */
const REFUSALS: ReadonlySet<number> = new Set([400, 408, 421, 429, 503]);

/**
 * Checks whether a response belongs to a request. Whatever else a response
 * states, a refusal included, is true only of the request whose id it carries.
 *
 * @returns why the response is not taken as the answer; undefined if it is
 * @example
 * const cause = findRejectionCause(head, request.id);
 */
export function findRejectionCause(
  head: Pick<
    ResponseHead,
    | 'requestId'
    | 'status'
    | 'isSealed'
    | 'isNotRun'
    | 'isWrongIncarnation'
    | 'unsendable'
  >,
  requestId: string,
): RejectionCause | undefined {
  if (head.requestId === undefined) {
    return 'unidentified';
  }
  if (head.requestId !== requestId) {
    return 'foreign';
  }
  const isRefusal = REFUSALS.has(head.status) || head.isWrongIncarnation;
  if (head.isNotRun && !isRefusal) {
    return 'contradictory';
  }
  if (head.isNotRun || head.isWrongIncarnation) {
    return undefined;
  }
  if (PROMISES.has(head.status)) {
    return 'unmarked';
  }
  if (head.unsendable !== undefined) {
    return 'invalid-header';
  }
  const isSuccess = head.status >= 200 && head.status < 300;
  return isSuccess && !head.isSealed ? 'unsealed' : undefined;
}
