/** When a caller may come again after a refusal: about the repair of a group. */
const RETRY_AFTER_MS = 2_500;
/** Never later than this part of the caller's time, beyond which it would not come. */
const RETRY_AFTER_SHARE = 0.3;

/**
 * When a caller whose request has not run should come again.
 *
 * @param leftMs milliseconds that the caller still waits
 * @returns milliseconds from now
 * @example
 * const retryAfterMs = computeRetryAfterMs(8000);
 */
export function computeRetryAfterMs(leftMs: number): number {
  return Math.min(RETRY_AFTER_MS, leftMs * RETRY_AFTER_SHARE);
}
