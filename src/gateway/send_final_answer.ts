import {CallerAnswer} from './caller_answer';
import {FINAL_STATUS} from './final_status';
import {FlowResult} from './flow_result';
import {SlotWait} from './slot_wait';

/** What a caller is told that gets no answer of a backend server. */
interface FinalAnswer {
  readonly answer: CallerAnswer;
  readonly requestId: string;
  readonly reason: string;
  /** Told where the answer has not begun; 503 only for what has not run. */
  readonly status: number;
  /** Knows when the caller may come again, for a request that has not run. */
  readonly wait: Pick<SlotWait, 'computeReturnMs'>;
}

/**
 * Ends an answer without a backend server's. What has begun breaks off, since
 * nothing else tells that it is not whole.
 *
 * @returns the outcome, and the status that the caller was told; 0 for none
 * @example
 * const {outcome, status} = sendFinalAnswer({answer, requestId, reason, status: 502, wait});
 */
export function sendFinalAnswer(
  final: FinalAnswer,
): Pick<FlowResult, 'outcome' | 'status'> {
  const {answer, requestId, reason, status, wait} = final;
  if (answer.hasBegun) {
    answer.breakOff();
    return {outcome: 'failed', status: 0};
  }
  const isNotRun = status === FINAL_STATUS.notRun;
  const isContained = status === FINAL_STATUS.cannotBeRun;
  const retryAfterMs = isNotRun ? wait.computeReturnMs() : undefined;
  answer.sendOwn({status, reason, retryAfterMs}, requestId);
  const outcome = isNotRun ? 'refused' : isContained ? 'contained' : 'failed';
  return {outcome, status};
}
