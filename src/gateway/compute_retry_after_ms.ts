import {SlotForecast} from './slot_forecast';

/** Who is refused. */
interface ReturnInput {
  readonly forecast: SlotForecast;
  /** Where it would wait for a place; undefined for plain services. */
  readonly queue: string | undefined;
  /** Milliseconds that the caller still waits. */
  readonly leftMs: number;
  /** Part of that time within which callers come back as they are told. */
  readonly maxRetryAfterFraction: number;
  /** When a place falls free that backend servers keep back by their own word; Infinity without one. */
  readonly availableInMs: number;
}

/**
 * When a caller whose request has not run should come again: when there will be a
 * place, after those told before it, so that they do not come back together. While
 * more requests come than places fall free nobody can tell, and the longer it stays
 * away the likelier it is that the load is over or a group is formed again.
 *
 * @returns milliseconds from now
 * @example
 * const retryAfterMs = computeRetryAfterMs({forecast, line, leftMs: 8000, honouredPart: 1 / 3, openingMs: Infinity});
 */
export function computeRetryAfterMs(input: ReturnInput): number {
  const {
    forecast,
    queue: line,
    leftMs,
    maxRetryAfterFraction: honouredPart,
    availableInMs: openingMs,
  } = input;
  const latestMs = Math.min(leftMs * honouredPart, openingMs);
  if (line === undefined) {
    return latestMs;
  }
  const returnMs = Math.min(forecast.estimateRetryMs(line), latestMs);
  forecast.recordRetryAfter(line, returnMs);
  return returnMs;
}
