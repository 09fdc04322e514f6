import {ERROR_STATUS} from './error_status';
import {ResponseWriter} from './response_writer';

/** Estimates need what has just failed, so that the delay is fixed; another gateway may serve it sooner. */
const RETRY_AFTER_FAULT_MS = 1_000;

interface FaultyResponse {
  readonly response: ResponseWriter;
  /** Undefined if the request was not read. */
  readonly requestId: string | undefined;
  readonly reason: string;
  /** The request was written to a backend server that may have executed it. */
  readonly mayHaveRun: boolean;
}

/**
 * Ends the response to a request that an error of this process ended. A response that
 * was begun is cut off, since only that tells the caller that it is truncated.
 *
 * @returns the status that was sent; 0 if the head was sent before, or the caller has left
 * @example
 * const status = endFaultyResponse({response, requestId: 'q1', reason, mayHaveRun: false});
 */
export function endFaultyResponse(input: FaultyResponse): number {
  const {response, requestId, reason, mayHaveRun} = input;
  if (response.hasEnded || response.isDisconnected) {
    return 0;
  }
  if (response.hasSentHead) {
    response.cancel();
    return 0;
  }
  const status = mayHaveRun ? ERROR_STATUS.failed : ERROR_STATUS.notRun;
  const retryAfterMs = mayHaveRun ? undefined : RETRY_AFTER_FAULT_MS;
  try {
    response.sendError({status, reason, retryAfterMs}, requestId);
    return status;
  } catch {
    // The answer itself cannot be written, so the caller learns of the fault by the end of its connection.
    response.cancel();
    return 0;
  }
}
