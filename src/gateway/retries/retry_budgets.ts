/** The retry budgets of a gateway, one for each pool. */
import {systemClock} from '../../common/system_clock';
import {LeaseClock} from '../../common/lease_clock';
import {ControlClient} from '../../protocol/control_client';
import {GatewaySettings} from '../gateway_settings';
import {RetryBudget} from './retry_budget';
import {RetryLog} from './retry_log';

/** A loan that is not granted within this time is too late for most requests. */
const ASK_TIMEOUT_MS = 500;

type LogOptions = Parameters<typeof RetryLog.create>[0];

interface RetryBudgetsOptions extends Omit<LogOptions, 'clock'> {
  readonly gatewayId: string;
  readonly limits: GatewaySettings['retries'];
  readonly client: Pick<ControlClient, 'ask'>;
}

/** Creates each budget when its pool is first used. */
export class RetryBudgets {
  /** Records the decisions of all budgets. */
  readonly log: RetryLog;
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly leaseClock = LeaseClock.create({
    monotonic: systemClock,
    wall: () => Date.now(),
  });

  private constructor(private readonly options: RetryBudgetsOptions) {
    this.log = RetryLog.create({...options, clock: systemClock});
  }

  /**
   * Creates an empty table.
   *
   * @example
   * const budgets = RetryBudgets.create({gatewayId, limits: settings.retries, client, events, describeGateways});
   */
  static create(options: RetryBudgetsOptions): RetryBudgets {
    return new RetryBudgets(options);
  }

  find(pool: string): RetryBudget {
    const budget = this.budgets.get(pool) ?? this.create(pool);
    this.budgets.set(pool, budget);
    return budget;
  }

  private create(pool: string): RetryBudget {
    const {gatewayId, limits, client} = this.options;
    return RetryBudget.create({
      limits,
      clock: systemClock,
      leaseClock: this.leaseClock,
      askLoan: wanted =>
        client.ask<'retry-loan-ask'>(
          {type: 'retry-loan-ask', gatewayId, pool, wanted},
          ASK_TIMEOUT_MS,
        ),
    });
  }
}
