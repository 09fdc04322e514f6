import {ResponseWriter} from './response_writer';
import {ERROR_STATUS} from './error_status';
import {RequestResult} from './request_result';
import {PlaceWait} from './place_wait';

/** What a caller is told that gets no answer of a backend server. */
interface FinalAnswer {
  readonly answer: ResponseWriter;
  readonly requestId: string;
  readonly reason: string;
  /** Told where the answer has not begun; 503 only for what has not run. */
  readonly status: number;
  /** Knows when the caller may come again, for a request that has not run. */
  readonly wait: Pick<PlaceWait, 'computeReturnMs'>;
}

/**
 * Ends an answer without a backend server's. What has begun breaks off, since
 * nothing else tells that it is not whole.
 *
 * @returns the outcome, and the status that the caller was told; 0 for none
 * @example
 * const {outcome, status} = sendFinalAnswer({answer, requestId, reason, status: 502, wait});
 */
export function sendErrorResponse(
  final: FinalAnswer,
): Pick<RequestResult, 'outcome' | 'status'> {
  const {answer, requestId, reason, status, wait} = final;
  if (answer.hasBegun) {
    answer.breakOff();
    return {outcome: 'failed', status: 0};
  }
  const isNotRun = status === ERROR_STATUS.notRun;
  const isContained = status === ERROR_STATUS.cannotBeRun;
  const retryAfterMs = isNotRun ? wait.computeReturnMs() : undefined;
  answer.sendOwn({status, reason, retryAfterMs}, requestId);
  const outcome = isNotRun ? 'refused' : isContained ? 'contained' : 'failed';
  return {outcome, status};
}
