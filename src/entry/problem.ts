import {Outcome} from '../protocol/outcome';

/** An error response to a caller, sent as `application/problem+json` (RFC 9457). */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly outcome: Outcome;
  /** Milliseconds after which the caller may retry. */
  readonly retryAfterMs?: number;
}
