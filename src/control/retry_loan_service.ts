/** Lends gateways parts of the slack of the retry budgets, on the leader. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {retryLoanTiming} from '../coordination/limits/retry_loan_timing';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {RaftRuntime} from './raft_runtime';

/** Limits the log entries for gateways that ask while nothing is left. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;

type Ask = MessageOf<ControlMessage, 'retry-loan-ask'>;

/** The slack of each pool's retry budget. */
interface RetrySlack {
  readonly windowMs: number;
  /** Retries allowed in each window beyond the ratio. */
  readonly slack: number;
}

interface RetryLoanServiceOptions {
  readonly runtime: Pick<RaftRuntime, 'state' | 'propose'>;
  readonly clock: Clock;
  readonly events: EventRing;
  /** Undefined where no slack is lent. */
  readonly retries: RetrySlack | undefined;
}

/**
 * Loans are committed to the log before they are granted, so they count beyond the lives of
 * gateways and leaders. Their age is measured by the leader's own monotonic clock from when it
 * first sees them, which is after they were granted: the wall clock may be set, and another
 * leader's clock cannot be read. Its caller checks that this process leads.
 */
export class RetryLoanService {
  /** When this process first saw each loan. */
  private readonly seenAt = new Map<number, number>();
  private readonly eventLog: ThrottledEventLog;

  private constructor(private readonly options: RetryLoanServiceOptions) {
    this.eventLog = ThrottledEventLog.create(options.events, options.clock);
  }

  /**
   * Creates a service that has seen no loans.
   *
   * @example
   * const service = RetryLoanService.create({runtime, clock, events, retries});
   */
  static create(options: RetryLoanServiceOptions): RetryLoanService {
    return new RetryLoanService(options);
  }

  readonly handlers = {
    'retry-loan-ask': (ask: Ask) => this.lend(ask),
  };

  /** Notes loans that this process has not seen yet; called regularly, as their age counts from then on. */
  refresh(): void {
    const {runtime, clock, retries} = this.options;
    if (!retries) {
      return;
    }
    const now = clock.now();
    const loans = runtime.state.retryLoans.list();
    const ids = new Set(loans.map(({id}) => id));
    ids.forEach(id => this.seenAt.set(id, this.seenAt.get(id) ?? now));
    for (const id of this.seenAt.keys()) {
      if (!ids.has(id)) {
        this.seenAt.delete(id);
      }
    }
  }

  private async lend({
    call,
    gatewayId,
    pool,
    wanted,
  }: Ask): Promise<ControlMessage> {
    const {runtime, retries} = this.options;
    this.refresh();
    const returned = this.listReturned();
    const free = this.countFree(pool, returned);
    if (!retries || free < 1) {
      this.record(gatewayId, pool, wanted, 0);
      const pauseMs = this.computePauseMs(pool);
      return {type: 'retry-loan-answer', call, granted: 0, pauseMs};
    }
    const result = await runtime.propose({
      type: 'lend-retries',
      time: Date.now(),
      pool,
      // Leaves something for gateways that ask next.
      wanted: Math.min(wanted, Math.ceil(free / 2)),
      slack: retries.slack,
      returned,
    });
    this.refresh();
    const granted = result.lent ?? 0;
    this.record(gatewayId, pool, wanted, granted);
    return {type: 'retry-loan-answer', call, granted, pauseMs: 0};
  }

  private countFree(pool: string, returned: readonly number[]): number {
    const {runtime, retries} = this.options;
    const lent = runtime.state.retryLoans
      .list()
      .filter(loan => loan.pool === pool && !returned.includes(loan.id))
      .reduce((sum, {count}) => sum + count, 0);
    return Math.floor(retries?.slack ?? 0) - lent;
  }

  private listReturned(): number[] {
    const now = this.options.clock.now();
    return [...this.seenAt]
      .filter(([, seenAt]) => now - seenAt >= this.countsForMs)
      .map(([id]) => id);
  }

  /** Milliseconds until a loan of the pool is returned, within limits. */
  private computePauseMs(pool: string): number {
    const now = this.options.clock.now();
    const loans = this.options.runtime.state.retryLoans.list();
    const returnedAt = loans
      .filter(loan => loan.pool === pool)
      .map(({id}) => (this.seenAt.get(id) ?? now) + this.countsForMs);
    const inMs = Math.min(...returnedAt) - now;
    return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, inMs));
  }

  /** A retry on a loan may arrive until its use and transit are over, and counts for a window from then on. */
  private get countsForMs(): number {
    const {useWithinMs, transitMs} = retryLoanTiming;
    return useWithinMs + transitMs + (this.options.retries?.windowMs ?? 0);
  }

  private record(
    gatewayId: string,
    pool: string,
    wanted: number,
    granted: number,
  ): void {
    const isLent = granted > 0;
    const lent = this.options.runtime.state.retryLoans.countLent(pool);
    const slack = this.options.retries?.slack ?? 0;
    this.eventLog.record(`${isLent} ${pool}`, {
      type: isLent ? 'retries-lent' : 'retries-not-lent',
      subject: 'pool',
      id: pool,
      reason: isLent
        ? 'a gateway borrows from the slack of the retry budget'
        : 'the slack of the retry budget is lent',
      details: {gatewayId, wanted, granted, lent, slack},
    });
  }
}
