/** Limits the attempts of one request by its route and the shared retry budget. */
import {Clock} from '../../common/clock';
import {GatewayRules} from '../../protocol/gateway_rules';
import {RetryBudget} from './retry_budget';
import {RetryCause} from './retry_cause';
import {RetryLog} from './retry_log';

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
   * Takes a retry from the shared budget; false if none is left or the time is
   * over.
   */
  takeRetry(cause: RetryCause): boolean {
    const {clock, budget, deadlineAt, pool, retryLog} = this.options;
    if (clock.now() >= deadlineAt) {
      return false;
    }
    const state = budget.describe();
    const isGranted = budget.takeRetry();
    retryLog.record({pool: pool.name, cause, isGranted, state});
    this.denial = isGranted
      ? undefined
      : `the retry budget of pool ${pool.name} is spent: ${state.spent} sent, ` +
        `${Math.floor(state.allowed)} allowed by ${state.requests} requests`;
    return isGranted;
  }

  /** Appends to the reason of a final failure that the budget denied the last retry. */
  explain(reason: string): string {
    return this.denial === undefined ? reason : `${reason}; ${this.denial}`;
  }
}
