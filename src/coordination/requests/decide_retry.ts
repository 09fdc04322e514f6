/** Decides what follows an attempt that did not answer. */
import {RequestOutcome} from '../../protocol/request_outcome';

/** What is known after an attempt. */
interface RetrySituation {
  readonly outcome: RequestOutcome;
  readonly isRepeatable: boolean;
  /** Part of an answer has reached the caller. */
  readonly hasDelivered: boolean;
  readonly attemptsMade: number;
  readonly msLeft: number;
  /** Takes one retry out of the budget; asked last, since it costs. */
  readonly takeRetry: () => boolean;
}

/** Attempts at one request at the most. */
const MAX_ATTEMPTS = 4;
/** Below this, a further attempt cannot be answered in time. */
const MIN_MS_LEFT = 50;

/**
 * Tells whether to try again elsewhere.
 *
 * A request that must run at most once is tried again only when the attempt
 * surely never started. Nothing is tried again once the caller saw a part.
 *
 * @example
 * if (decideRetry(situation)) dispatchElsewhere();
 */
export function decideRetry(situation: RetrySituation): boolean {
  const {outcome, isRepeatable, hasDelivered, attemptsMade, msLeft, takeRetry} =
    situation;
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
