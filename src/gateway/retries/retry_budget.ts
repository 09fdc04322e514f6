/** The retries that this gateway may send to a pool within the budget of all gateways. */
import {Clock} from '../../common/clock';
import {LeaseClock} from '../../common/lease_clock';
import {EarnedRetries} from '../../coordination/limits/earned_retries';
import {GatewaySettings} from '../gateway_settings';
import {RetryBudgetState} from './retry_budget_state';
import {RetryGrant} from './retry_grant';
import {RetryLoans} from './retry_loans';

interface RetryBudgetOptions {
  readonly limits: Pick<GatewaySettings['retries'], 'ratio' | 'windowMs'>;
  readonly clock: Clock;
  readonly leaseClock: Pick<LeaseClock, 'now' | 'pausedAt'>;
  /** Borrows from the slack that all gateways share. */
  readonly askLoan: Parameters<typeof RetryLoans.create>[0]['askLoan'];
}

/**
 * Grants retries by the requests that this gateway received, and beyond these on loans from the
 * slack. Neither part depends on the number of gateways. A process that restarts begins without
 * requests and without loans, so it can't spend again what its predecessor has spent.
 */
export class RetryBudget {
  private readonly earned: EarnedRetries;
  private readonly loans: RetryLoans;
  private pausedAt: number;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.earned = EarnedRetries.create(options.limits);
    this.loans = RetryLoans.create(options);
    this.pausedAt = options.leaseClock.pausedAt;
  }

  /**
   * Creates an unused budget.
   *
   * @example
   * const budget = RetryBudget.create({limits: settings.retries, clock, leaseClock, askLoan});
   */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Records the first attempt of a request. */
  recordRequest(): void {
    this.earned.recordRequest(this.options.clock.now());
  }

  /** True while a loan is being decided on, so that a denied retry may soon be granted. */
  get isBorrowing(): boolean {
    return this.loans.isBorrowing;
  }

  /** True if a retry is left. */
  hasRetry(): boolean {
    return this.canTakeEarned() || this.loans.left > 0;
  }

  /** Takes a retry from the budget; undefined if none is left. */
  takeRetry(): RetryGrant | undefined {
    if (this.canTakeEarned()) {
      return this.grantEarned();
    }
    const loan = this.loans.take();
    return (
      loan &&
      this.createGrant(
        () => undefined,
        () => (loan.left += 1),
      )
    );
  }

  /** Returns what the next decision is based on. */
  describe(): RetryBudgetState {
    const {left} = this.loans;
    return {...this.earned.describe(this.options.clock.now()), borrowed: left};
  }

  private canTakeEarned(): boolean {
    const {clock, leaseClock} = this.options;
    const {pausedAt} = leaseClock;
    if (pausedAt !== this.pausedAt) {
      this.pausedAt = pausedAt;
      this.earned.dropRequests();
    }
    return this.earned.canTake(clock.now());
  }

  private grantEarned(): RetryGrant {
    const {earned} = this;
    earned.take();
    return this.createGrant(
      () => earned.settle(this.options.clock.now()),
      () => earned.cancel(),
    );
  }

  private createGrant(
    onSettled: () => void,
    onCanceled: () => void,
  ): RetryGrant {
    const {leaseClock} = this.options;
    return RetryGrant.create({leaseClock, onSettled, onCanceled});
  }
}
