/** This gateway's part of the repeats that all gateways may send to a pool. */
import {Clock} from '../common/clock';
import {GatewaySettings} from './gateway_settings';

/** What is left unused, because windows slide and gateways come and go. */
const SAFETY = 0.8;
const BUCKETS = 20;

interface Bucket {
  requests: number;
  repeats: number;
}

/** Counts requests and repeats of one pool in a sliding window. */
export class RetryBudget {
  private readonly buckets = new Map<number, Bucket>();

  private constructor(
    private readonly limits: GatewaySettings['retries'],
    private readonly clock: Clock,
    private readonly countGateways: () => number,
  ) {}

  /**
   * Creates a budget that nothing was taken from.
   *
   * @example
   * const budget = RepeatBudget.create(settings.retries, clock, () => feed.gateways);
   */
  static create(
    limits: GatewaySettings['retries'],
    clock: Clock,
    countGateways: () => number,
  ): RetryBudget {
    return new RetryBudget(limits, clock, countGateways);
  }

  /** Notes the first sending of a request. */
  recordRequest(): void {
    this.findBucket().requests += 1;
  }

  /** Takes one repeat; false when none is left. */
  takeRetry(): boolean {
    const isLeft = this.hasRetry();
    this.findBucket().repeats += isLeft ? 1 : 0;
    return isLeft;
  }

  /** True while one is left. */
  hasRetry(): boolean {
    this.findBucket();
    let requests = 0;
    let repeats = 0;
    for (const bucket of this.buckets.values()) {
      requests += bucket.requests;
      repeats += bucket.repeats;
    }
    const {ratio, slack} = this.limits;
    const allowed = (ratio * requests + slack / this.countGateways()) * SAFETY;
    return repeats + 1 <= allowed;
  }

  private findBucket(): Bucket {
    const width = this.limits.windowMs / BUCKETS;
    const slot = Math.floor(this.clock.now() / width);
    for (const old of this.buckets.keys()) {
      if (old < slot - BUCKETS) {
        this.buckets.delete(old);
      }
    }
    const bucket = this.buckets.get(slot) ?? {requests: 0, repeats: 0};
    this.buckets.set(slot, bucket);
    return bucket;
  }
}
