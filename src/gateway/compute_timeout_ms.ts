import {GatewayRequest} from './gateway_request';

/**
 * Computes how long a request may take from its arrival on, in milliseconds.
 *
 * @example
 * const deadlineAt = arrivedAt + computeTimeoutMs(request, route);
 */
export function computeTimeoutMs(
  {waitMs = Infinity}: Pick<GatewayRequest, 'waitMs'>,
  {timeoutMs}: {readonly timeoutMs: number},
): number {
  return Math.min(waitMs, timeoutMs);
}
