import {CallerAnswer} from './caller_answer';
import {computeRetryAfterMs} from './compute_retry_after_ms';
import {FlowResult} from './flow_result';

/** The status of a request that has not run and never will. */
const NOT_RUN = 503;

/** What a caller is told that gets no answer of a backend server. */
interface FinalAnswer {
  readonly answer: CallerAnswer;
  readonly requestId: string;
  readonly reason: string;
  /** Told where the answer has not begun; 503 only for what has not run. */
  readonly status: number;
  /** What is left of the caller's time, in milliseconds. */
  readonly leftMs: number;
}

/**
 * Ends an answer without a backend server's. What has begun breaks off, since
 * nothing else tells that it is not whole.
 *
 * @returns the outcome, and the status that the caller was told; 0 for none
 * @example
 * const {outcome, status} = sendFinalAnswer({answer, requestId, reason, status: 502, leftMs});
 */
export function sendFinalAnswer(
  final: FinalAnswer,
): Pick<FlowResult, 'outcome' | 'status'> {
  const {answer, requestId, reason, status, leftMs} = final;
  if (answer.hasBegun) {
    answer.breakOff();
    return {outcome: 'failed', status: 0};
  }
  const isNotRun = status === NOT_RUN;
  const retryAfterMs = isNotRun ? computeRetryAfterMs(leftMs) : undefined;
  answer.sendOwn({status, reason, retryAfterMs}, requestId);
  return {outcome: isNotRun ? 'refused' : 'failed', status};
}
