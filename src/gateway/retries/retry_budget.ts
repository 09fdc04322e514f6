/**
 * This gateway's share of the retries that all gateways together may send to a
 * pool.
 */
import {Clock} from '../../common/clock';
import {GatewaySettings} from '../gateway_settings';
import {RetryBudgetState} from './retry_budget_state';

/**
 * Share of the budget that is used; the rest allows for sliding windows and for
 * changes in the number of gateways.
 */
const SAFETY_FACTOR = 0.8;
const BUCKETS = 20;

interface Bucket {
  requests: number;
  retries: number;
}

/** Counts requests and retries of one pool in a sliding window. */
export class RetryBudget {
  private readonly buckets = new Map<number, Bucket>();

  private constructor(
    private readonly limits: GatewaySettings['retries'],
    private readonly clock: Clock,
    private readonly countGateways: () => number,
  ) {}

  /**
   * Creates an unused budget.
   *
   * @example
   * const budget = RetryBudget.create(settings.retries, clock, () => feed.gateways);
   */
  static create(
    limits: GatewaySettings['retries'],
    clock: Clock,
    countGateways: () => number,
  ): RetryBudget {
    return new RetryBudget(limits, clock, countGateways);
  }

  /** Records the first attempt of a request. */
  recordRequest(): void {
    this.findBucket().requests += 1;
  }

  /** Takes a retry from the budget; false if none is left. */
  takeRetry(): boolean {
    const isLeft = this.hasRetry();
    this.findBucket().retries += isLeft ? 1 : 0;
    return isLeft;
  }

  /** True if a retry is left. */
  hasRetry(): boolean {
    const {spent, allowed} = this.describe();
    return spent + 1 <= allowed;
  }

  /** Returns what the next decision is based on. */
  describe(): RetryBudgetState {
    this.findBucket();
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets.values()) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    const {ratio, slack} = this.limits;
    const allowed =
      (ratio * requests + slack / this.countGateways()) * SAFETY_FACTOR;
    return {spent: retries, allowed, requests};
  }

  private findBucket(): Bucket {
    const width = this.limits.windowMs / BUCKETS;
    const slot = Math.floor(this.clock.now() / width);
    for (const old of this.buckets.keys()) {
      if (old < slot - BUCKETS) {
        this.buckets.delete(old);
      }
    }
    const bucket = this.buckets.get(slot) ?? {requests: 0, retries: 0};
    this.buckets.set(slot, bucket);
    return bucket;
  }
}
