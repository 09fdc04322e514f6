/** Bounds retries to a share of what succeeded lately. */

const EARN_PER_SUCCESS = 0.1;
const MAX_TOKENS = 10;

/** A token bucket that successes fill and retries empty. */
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

  /** Notes a success, which earns a tenth of a retry. */
  recordSuccess(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + EARN_PER_SUCCESS);
  }

  /** Takes one retry out; false when there is none left. */
  takeRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
