import {SlotQueue} from './slot_queue';

/** The refused request. */
interface RetryInput {
  /** The queue for a slot; undefined for plain services. */
  readonly queue:
    Pick<SlotQueue, 'estimateRetryMs' | 'recordRefusal'> | undefined;
  readonly urgency: number;
  /** Milliseconds until the caller gives up. */
  readonly leftMs: number;
  /** Share of that time within which callers honor a Retry-After delay. */
  readonly maxRetryAfterFraction: number;
  /**
   * When a backend server that is rate limited or backs off accepts a request
   * again; Infinity if there is none.
   */
  readonly availableInMs: number;
}

/**
 * Computes when the caller of a request that has not run should retry: once a
 * slot is expected to be free, after the retries promised before it, so that
 * callers don't all return at the same time. While arrivals exceed freed slots
 * no time can be predicted, and a later retry is more likely to find the load
 * over or the group replaced.
 *
 * @returns milliseconds from now
 * @example
 * const retryAfterMs = computeRetryAfterMs({queue, urgency: 1, leftMs: 8000, maxRetryAfterFraction: 1 / 3, availableInMs: Infinity});
 */
export function computeRetryAfterMs(input: RetryInput): number {
  const {queue, urgency, leftMs, maxRetryAfterFraction, availableInMs} = input;
  const latestMs = Math.min(leftMs * maxRetryAfterFraction, availableInMs);
  if (queue === undefined) {
    return latestMs;
  }
  const retryMs = Math.min(queue.estimateRetryMs(urgency), latestMs);
  queue.recordRefusal(urgency, retryMs);
  return retryMs;
}
