/** The retry budgets of a gateway, one for each pool. */
import {RetryBudget} from './retry_budget';

type BudgetOptions = Parameters<typeof RetryBudget.create>;

/** Creates each budget when its pool is first used. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  private constructor(private readonly options: BudgetOptions) {}

  /**
   * Creates an empty table.
   *
   * @example
   * const budgets = RetryBudgets.create(settings.retries, clock, () => poller.gatewayCount);
   */
  static create(...options: BudgetOptions): RetryBudgets {
    return new RetryBudgets(options);
  }

  find(pool: string): RetryBudget {
    const budget =
      this.budgets.get(pool) ?? RetryBudget.create(...this.options);
    this.budgets.set(pool, budget);
    return budget;
  }
}
