import {ERROR_STATUS} from './error_status';
import {SlotWait} from '../scheduling/slot_wait';
import {RequestResult} from '../request_result';
import {ResponseWriter} from './response_writer';

interface ErrorResponseInput {
  readonly response: ResponseWriter;
  readonly requestId: string;
  readonly reason: string;
  /** Sent only if no head was sent yet; 503 only for a request that was not executed. */
  readonly status: number;
  /** Estimates when the caller may retry a request that was not executed. */
  readonly wait: Pick<SlotWait, 'computeRetryAfterMs'>;
}

/**
 * Answers a request with an error of the gateway. A response that was already begun
 * is cancelled, since only a broken connection tells the caller that it is truncated.
 *
 * @returns the outcome and the status that was sent; 0 when none was
 * @example
 * const {outcome, status} = sendErrorResponse({response, requestId, reason, status: 502, wait});
 */
export function sendErrorResponse(
  input: ErrorResponseInput,
): Pick<RequestResult, 'outcome' | 'status'> {
  const {response, requestId, reason, status, wait} = input;
  if (response.hasSentHead) {
    response.cancel();
    return {outcome: 'failed', status: 0};
  }
  const isNotRun = status === ERROR_STATUS.notRun;
  const isContained = status === ERROR_STATUS.cannotBeRun;
  const retryAfterMs = isNotRun ? wait.computeRetryAfterMs() : undefined;
  response.sendError({status, reason, retryAfterMs}, requestId);
  const outcome = isNotRun ? 'refused' : isContained ? 'contained' : 'failed';
  return {outcome, status};
}
