/** What a decision of the retry budget was based on. */
export interface RetryBudgetState {
  /** Retries of this gateway in the current window. */
  readonly spent: number;
  /** Retries that this gateway may send in the current window. */
  readonly allowed: number;
  /** Requests of this gateway's callers in the current window. */
  readonly requests: number;
}
