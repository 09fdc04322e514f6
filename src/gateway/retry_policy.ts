/** How often one request may be sent, as its route and the shared budget allow. */
import {Clock} from '../common/clock';
import {GatewayRules} from '../protocol/gateway_rules';
import {RetryBudget} from './retry_budget';

/** Sendings that were refused as not run do not count as runs, but end here. */
const MAX_REFUSALS = 3;

/** What it follows from. */
interface RepeatPolicyOptions {
  readonly route: GatewayRules['routes'][number];
  readonly budget: RetryBudget;
  readonly clock: Clock;
  /** When the caller gives up, on this process's monotonic clock. */
  readonly deadlineAt: number;
}

/** Counts the runs of one request. */
export class RetryPolicy {
  private runs = 0;
  private refusals = 0;

  private constructor(private readonly options: RepeatPolicyOptions) {}

  /**
   * Creates the policy of a request that was not sent.
   *
   * @example
   * const policy = RepeatPolicy.create({route, budget, clock, deadlineAt});
   */
  static create(options: RepeatPolicyOptions): RetryPolicy {
    return new RetryPolicy(options);
  }

  /** It may have run. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** Its route allows another run. */
  get canRetry(): boolean {
    const {route} = this.options;
    const isRepeatable = route.kind === 'safe' || route.isResumable;
    return isRepeatable && this.runs < route.maxAttempts;
  }

  /** A stream whose route allows another run beside the one under way. */
  get canFailOver(): boolean {
    const {route} = this.options;
    const isResumable = route.kind === 'stream' && route.isResumable;
    return isResumable && this.runs + 1 < route.maxAttempts;
  }

  /** It was refused too rarely to give up. */
  get canRetryAfterRefusal(): boolean {
    return this.refusals <= MAX_REFUSALS;
  }

  /** The shared budget has a repeat left. */
  get hasRetry(): boolean {
    return this.options.budget.hasRetry();
  }

  recordRun(): void {
    this.runs += 1;
  }

  recordRefusal(): void {
    this.refusals += 1;
  }

  /** Takes a repeat from the shared budget; false when none is left, or no time. */
  takeRetry(): boolean {
    const {clock, budget, deadlineAt} = this.options;
    return clock.now() < deadlineAt && budget.takeRetry();
  }
}
