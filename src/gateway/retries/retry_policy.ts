/** Limits the attempts of one request by its route and the shared retry budget. */
import {Clock} from '../../common/clock';
import {GatewayRules} from '../../protocol/gateway_rules';
import {RetryBudget} from './retry_budget';
import {RetryBudgetState} from './retry_budget_state';
import {RetryCause} from './retry_cause';
import {RetryGrant} from './retry_grant';
import {RetryLog} from './retry_log';
import {RetryVerdict} from './retry_verdict';

/**
 * Attempts that were refused before they ran don't count as runs, so they are
 * limited separately.
 */
const MAX_REFUSALS = 3;

/** The request's route and the shared retry budget. */
interface RetryPolicyOptions {
  readonly route: GatewayRules['routes'][number];
  readonly pool: Pick<GatewayRules['pools'][number], 'name'>;
  readonly budget: RetryBudget;
  readonly retryLog: RetryLog;
  readonly clock: Clock;
  /** When the request times out, on this process's monotonic clock. */
  readonly deadlineAt: number;
}

/** Counts the attempts of one request. */
export class RetryPolicy {
  private runs = 0;
  private refusals = 0;
  private denial: string | undefined;
  /** The retry that was granted and not sent yet. */
  private grant: RetryGrant | undefined;
  /** An attempt was written to a connection, so that the next one counts as a retry. */
  private wasWritten = false;

  private constructor(private readonly options: RetryPolicyOptions) {}

  /**
   * Creates the policy of a request that has not been sent.
   *
   * @example
   * const policy = RetryPolicy.create({route, pool, budget, retryLog, clock, deadlineAt});
   */
  static create(options: RetryPolicyOptions): RetryPolicy {
    return new RetryPolicy(options);
  }

  /** True if an attempt may have run. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** True if the route allows another attempt. */
  get canRetry(): boolean {
    const {route} = this.options;
    const isRepeatable = route.kind === 'safe' || route.isResumable;
    return isRepeatable && this.runs < route.maxAttempts;
  }

  /**
   * True for a stream that may be moved to another backend server while its
   * attempt is running.
   */
  get canFailOver(): boolean {
    const {route} = this.options;
    const isResumable = route.kind === 'stream' && route.isResumable;
    return isResumable && this.runs + 1 < route.maxAttempts;
  }

  /** True until too many attempts were refused. */
  get canRetryAfterRefusal(): boolean {
    return this.refusals <= MAX_REFUSALS;
  }

  /** True if the shared budget has a retry left. */
  get hasRetry(): boolean {
    return this.options.budget.hasRetry();
  }

  recordRun(): void {
    this.runs += 1;
  }

  recordRefusal(): void {
    this.refusals += 1;
  }

  /**
   * Takes a retry from the shared budget. `pending`: none is left, but the budget is borrowing.
   */
  takeRetry(cause: RetryCause): RetryVerdict {
    const {clock, budget, deadlineAt} = this.options;
    if (clock.now() >= deadlineAt) {
      return 'denied';
    }
    if (!this.wasWritten) {
      return 'granted';
    }
    const state = budget.describe();
    this.cancelGrant();
    this.grant = budget.takeRetry();
    if (this.grant) {
      this.record(cause, state, true);
      this.denial = undefined;
      return 'granted';
    }
    if (budget.isBorrowing) {
      return 'pending';
    }
    this.recordDenial(cause, state);
    return 'denied';
  }

  /** Records that no loan came in time. */
  recordMissedLoan(cause: RetryCause): void {
    this.recordDenial(cause, this.options.budget.describe());
  }

  /**
   * Checks right before the request is sent that no attempt was written yet or that a retry is
   * granted for it. A grant that was taken long ago is renewed.
   *
   * @returns false if the request must not be sent now
   */
  prepareSend(): boolean {
    if (!this.wasWritten || this.grant?.isFresh) {
      return true;
    }
    this.cancelGrant();
    this.grant = this.options.budget.takeRetry();
    return this.grant !== undefined;
  }

  /** Hands the grant to the attempt that is sent by it; undefined if none was written before. */
  takeGrant(): RetryGrant | undefined {
    const {grant} = this;
    this.grant = undefined;
    return grant;
  }

  /** Records that an attempt is about to be written to a connection. */
  recordWritten(): void {
    this.wasWritten = true;
  }

  /** Gives back a grant that was not used. */
  cancelGrant(): void {
    this.grant?.cancel();
    this.grant = undefined;
  }

  /** Appends to the reason of a final failure that the budget denied the last retry. */
  explain(reason: string): string {
    return this.denial === undefined ? reason : `${reason}; ${this.denial}`;
  }

  /** Logs the first denial in a row; a request that waits for a retry asks again and again. */
  private recordDenial(cause: RetryCause, state: RetryBudgetState): void {
    if (this.denial !== undefined) {
      return;
    }
    const {spent, allowed, requests} = state;
    this.record(cause, state, false);
    this.denial =
      `the retry budget of pool ${this.options.pool.name} is spent: ${spent} sent, ` +
      `${Math.floor(allowed)} allowed by ${requests} requests`;
  }

  private record(
    cause: RetryCause,
    state: RetryBudgetState,
    isGranted: boolean,
  ): void {
    const {pool, retryLog} = this.options;
    retryLog.record({pool: pool.name, cause, isGranted, state});
  }
}
