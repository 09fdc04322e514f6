import {RequestOutcome} from '../protocol/request_outcome';

/** An error response to a caller, sent as `application/problem+json` (RFC 9457). */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly outcome: RequestOutcome;
  /** Milliseconds after which the caller may retry. */
  readonly retryAfterMs?: number;
}
