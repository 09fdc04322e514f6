/** Limits retries to a fraction of the recent successes. */

const TOKENS_PER_SUCCESS = 0.1;
const MAX_TOKENS = 10;

/** A token bucket that successes refill and retries drain. */
export class RetryBudget {
  private tokens = MAX_TOKENS;

  private constructor() {}

  /**
   * Creates a full budget.
   *
   * @example
   * const budget = RetryBudget.create();
   * if (budget.takeRetry()) retry();
   */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Records a success, which earns a tenth of a retry. */
  recordSuccess(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_SUCCESS);
  }

  /** Takes one retry out of the budget; returns false if none is left. */
  takeRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
