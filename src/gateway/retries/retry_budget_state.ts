/** What a decision of the retry budget was based on. */
export interface RetryBudgetState {
  /** Retries that count against the requests of this gateway in the current window. */
  readonly spent: number;
  /** Retries that the requests of this gateway permit in the current window. */
  readonly allowed: number;
  /** Requests of this gateway's callers in the current window. */
  readonly requests: number;
  /** Retries that are left of what control has lent. */
  readonly borrowed: number;
}
