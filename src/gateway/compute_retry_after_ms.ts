import {PlaceForecast} from './place_forecast';

/** Who is refused. */
interface ReturnInput {
  readonly forecast: PlaceForecast;
  /** Where it would wait for a place; undefined for plain services. */
  readonly line: string | undefined;
  /** Milliseconds that the caller still waits. */
  readonly leftMs: number;
  /** Part of that time within which callers come back as they are told. */
  readonly honouredPart: number;
  /** When a place falls free that backend servers keep back by their own word; Infinity without one. */
  readonly openingMs: number;
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
  const {forecast, line, leftMs, honouredPart, openingMs} = input;
  const latestMs = Math.min(leftMs * honouredPart, openingMs);
  if (line === undefined) {
    return latestMs;
  }
  const returnMs = Math.min(forecast.computeReturnMs(line), latestMs);
  forecast.recordReturn(line, returnMs);
  return returnMs;
}
