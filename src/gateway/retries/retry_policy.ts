/** Limits the attempts of one request by its route and the shared retry budget. */
import {Clock} from '../../common/clock';
import {GatewayRules} from '../../protocol/gateway_rules';
import {RetryBudget} from './retry_budget';

/**
 * Attempts that were refused before they ran don't count as runs, so they are
 * limited separately.
 */
const MAX_REFUSALS = 3;

/** The request's route and the shared retry budget. */
interface RetryPolicyOptions {
  readonly route: GatewayRules['routes'][number];
  readonly budget: RetryBudget;
  readonly clock: Clock;
  /** When the request times out, on this process's monotonic clock. */
  readonly deadlineAt: number;
}

/** Counts the attempts of one request. */
export class RetryPolicy {
  private runs = 0;
  private refusals = 0;

  private constructor(private readonly options: RetryPolicyOptions) {}

  /**
   * Creates the policy of a request that has not been sent.
   *
   * @example
   * const policy = RetryPolicy.create({route, budget, clock, deadlineAt});
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
  takeRetry(): boolean {
    const {clock, budget, deadlineAt} = this.options;
    return clock.now() < deadlineAt && budget.takeRetry();
  }
}
