/**
 * A response that a gateway gives itself, without sending the request to a
 * backend server.
 */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Delay after which the caller may retry; absent if a retry is useless. */
  readonly retryAfterMs?: number;
}
