import {RequestOutcome} from '../protocol/request_outcome';

/** Why a request got no answer of its own; becomes `application/problem+json` (RFC 9457). */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly outcome: RequestOutcome;
  /** Milliseconds after which asking again makes sense. */
  readonly retryAfterMs?: number;
}
