/** Retry policy for failed attempts. */
import {RequestOutcome} from '../../protocol/request_outcome';

/** State of a request after an attempt. */
interface RetryContext {
  readonly outcome: RequestOutcome;
  readonly isRepeatable: boolean;
  /** Part of a response has reached the caller. */
  readonly hasDelivered: boolean;
  readonly attemptsMade: number;
  readonly msLeft: number;
  /** Takes one retry out of the budget; called last, since it uses the budget up. */
  readonly takeRetry: () => boolean;
}

/** Maximum number of attempts per request. */
const MAX_ATTEMPTS = 4;
/** With less time left, another attempt cannot complete. */
const MIN_MS_LEFT = 50;

/**
 * Decides whether to retry a request at another replica.
 *
 * A request that must run at most once is retried only if the attempt certainly never
 * started. No request is retried once the caller has received part of a response.
 *
 * @example
 * if (decideRetry(context)) dispatchElsewhere();
 */
export function decideRetry(context: RetryContext): boolean {
  const {outcome, isRepeatable, hasDelivered, attemptsMade, msLeft, takeRetry} =
    context;
  if (outcome === 'answered' || hasDelivered) {
    return false;
  }
  if (!isRepeatable && outcome !== 'not-run') {
    return false;
  }
  if (attemptsMade >= MAX_ATTEMPTS || msLeft < MIN_MS_LEFT) {
    return false;
  }
  return takeRetry();
}
