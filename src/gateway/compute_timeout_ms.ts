import {GatewayRequest} from './gateway_request';

/** Node.js fires a longer timer at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Computes how long a request may take from its arrival on, in milliseconds; at most
 * what a timer can hold, as rules that an older version accepted may have more.
 *
 * @example
 * const deadlineAt = arrivedAt + computeTimeoutMs(request, route);
 */
export function computeTimeoutMs(
  {waitMs = Infinity}: Pick<GatewayRequest, 'waitMs'>,
  {timeoutMs}: {readonly timeoutMs: number},
): number {
  return Math.min(waitMs, timeoutMs, MAX_TIMER_MS);
}
