/** What gateways were lent from the slack of the retry budgets, so that no later leader lends it again too early. */
import {z} from 'zod';

const RetryLoan = z.object({
  /** Index of the log entry that granted it. */
  id: z.int(),
  pool: z.string(),
  count: z.int().positive(),
});
type RetryLoan = z.infer<typeof RetryLoan>;

interface LoanOrder {
  readonly id: number;
  readonly pool: string;
  readonly wanted: number;
  /** Retries of the pool that may be lent at a time. */
  readonly slack: number;
  /** Loans whose retries are no longer in any window. */
  readonly returned: readonly number[];
}

/** Loans that still count against the slack. */
export class RetryLoanTable {
  private readonly loans: Map<number, RetryLoan>;

  private constructor(loans: readonly RetryLoan[]) {
    this.loans = new Map(loans.map(loan => [loan.id, loan]));
  }

  /**
   * Creates an empty table, or that of a snapshot.
   *
   * @example
   * const loans = RetryLoanTable.create();
   */
  static create(saved?: unknown): RetryLoanTable {
    return new RetryLoanTable(z.array(RetryLoan).parse(saved ?? []));
  }

  /** All loans that count, oldest first. */
  list(): RetryLoan[] {
    return [...this.loans.values()];
  }

  /** The retries of a pool that are lent now. */
  countLent(pool: string): number {
    return this.list()
      .filter(loan => loan.pool === pool)
      .reduce((sum, {count}) => sum + count, 0);
  }

  /** Lends what is wanted, or what the slack leaves of it; returns the number lent. */
  lend({id, pool, wanted, slack, returned}: LoanOrder): number {
    returned.forEach(each => this.loans.delete(each));
    const count = Math.min(wanted, Math.floor(slack) - this.countLent(pool));
    if (count <= 0) {
      return 0;
    }
    this.loans.set(id, {id, pool, count});
    return count;
  }

  save(): RetryLoan[] {
    return this.list();
  }
}
