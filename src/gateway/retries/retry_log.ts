/** Records the decisions of the retry budgets, at most one a second for each pool, verdict and cause. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {RetryBudgetState} from './retry_budget_state';
import {RetryCause} from './retry_cause';

/** How many gateways share the budget, by the last answer of control. */
interface GatewayCount {
  readonly gateways: number;
  /** Milliseconds since that answer was asked for. */
  readonly countedMsAgo: number;
}

interface RetryLogOptions {
  readonly events: EventRing;
  readonly clock: Clock;
  readonly describeGateways: () => GatewayCount;
}

interface RetryDecision {
  readonly pool: string;
  readonly cause: RetryCause;
  readonly isGranted: boolean;
  readonly state: RetryBudgetState;
}

/** Logged as the age of a count that was never received, since the field is a number. */
const UNCOUNTED_AGE_MS = 1e9;

const REASONS = {
  granted: 'the retry budget of the pool allows another attempt',
  denied: 'the retry budget of the pool is spent',
} as const;

/** Shared by the budgets of all pools. */
export class RetryLog {
  private readonly throttled: ThrottledEventLog;

  private constructor(private readonly options: RetryLogOptions) {
    this.throttled = ThrottledEventLog.create(options.events, options.clock);
  }

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = RetryLog.create({events, clock, describeGateways});
   * log.record({pool: 'p', cause: 'broken', isGranted: false, state: budget.describe()});
   */
  static create(options: RetryLogOptions): RetryLog {
    return new RetryLog(options);
  }

  record({pool, cause, isGranted, state}: RetryDecision): void {
    const verdict = isGranted ? 'granted' : 'denied';
    const {gateways, countedMsAgo} = this.options.describeGateways();
    this.throttled.record(`${verdict} ${cause} ${pool}`, {
      type: `retry-${verdict}`,
      subject: 'pool',
      id: pool,
      reason: REASONS[verdict],
      details: {
        cause,
        ...state,
        gateways,
        countedMsAgo: Math.round(Math.min(countedMsAgo, UNCOUNTED_AGE_MS)),
      },
    });
  }
}
