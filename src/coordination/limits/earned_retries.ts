/**
 * Decides how many retries a gateway may send by the requests that it received itself.
 *
 * A pool must not receive, in any window, more retries of all gateways together than a fraction
 * of the requests in that window, or in the window that ended half a window before. Each gateway
 * keeps to the mean of both by its own counts. The mean is additive, unlike the larger of the
 * two, so the sum over any number of gateways, also over earlier lives of their processes, keeps
 * to the mean of the sums, which is at most the larger one. Since a retry counts in every window
 * that ends within a window from now, all of these are checked before it is granted.
 */

/** Parts into which a window is divided; counts of a part are rounded so that they err on the safe side. */
const BUCKETS = 40;
/** Longest time from when a caller sends a request until it is counted here, in buckets. */
const MAX_DELAY_BUCKETS = 2;
/** The weight of a request in each of the two windows whose mean is taken. */
const WEIGHT = 0.5;
/** Ages, in buckets, up to which a request is certainly in the first or the second window. */
const FIRST_MAX_AGE = BUCKETS - 1 - MAX_DELAY_BUCKETS;
const SECOND_MIN_AGE = BUCKETS / 2 + 1;
const SECOND_MAX_AGE = (BUCKETS * 3) / 2 - 1 - MAX_DELAY_BUCKETS;

interface EarnedRetriesOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
}

type Counts = Map<number, number>;

/** Requests and retries of one gateway to one pool. Times are monotonic milliseconds. */
export class EarnedRetries {
  private readonly requests: Counts = new Map();
  private readonly spent: Counts = new Map();
  /** Retries that were granted and may still arrive at the pool. */
  private inFlight = 0;

  private constructor(private readonly options: EarnedRetriesOptions) {}

  /**
   * Creates empty counts.
   *
   * @example
   * const earned = EarnedRetries.create({ratio: 0.2, windowMs: 10_000});
   * earned.recordRequest(clock.now());
   * if (earned.canTake(clock.now())) earned.take();
   */
  static create(options: EarnedRetriesOptions): EarnedRetries {
    return new EarnedRetries(options);
  }

  recordRequest(at: number): void {
    add(this.requests, this.findBucket(at));
  }

  /** Whether one more retry keeps to the limit in every window that will contain it. */
  canTake(at: number): boolean {
    const requests = this.countBack(this.requests, at);
    const spent = this.countBack(this.spent, at);
    for (let ahead = 0; ahead <= BUCKETS; ahead += 1) {
      const allowed = this.options.ratio * computeMeanRequests(requests, ahead);
      const taken = this.inFlight + spent(BUCKETS - ahead);
      if (taken + 1 > allowed) {
        return false;
      }
    }
    return true;
  }

  /** Grants a retry, which counts as sent now until it is settled or canceled. */
  take(): void {
    this.inFlight += 1;
  }

  /** Records that a granted retry has arrived at the pool by now, or never will. */
  settle(at: number): void {
    this.inFlight -= 1;
    add(this.spent, this.findBucket(at));
  }

  /** Takes a grant back that was not used. */
  cancel(): void {
    this.inFlight -= 1;
  }

  /** Forgets the requests, whose age is unknown after a pause of the clock. */
  dropRequests(): void {
    this.requests.clear();
  }

  /** Returns the counts of the window that ends now. */
  describe(at: number): {spent: number; allowed: number; requests: number} {
    const requests = this.countBack(this.requests, at);
    return {
      spent: this.inFlight + this.countBack(this.spent, at)(BUCKETS),
      allowed: this.options.ratio * computeMeanRequests(requests, 0),
      requests: requests(BUCKETS),
    };
  }

  private findBucket(at: number): number {
    return Math.floor((at * BUCKETS) / this.options.windowMs);
  }

  /** Sums up the counts of the newest buckets: that of now and the given number before it. */
  private countBack(counts: Counts, at: number): (buckets: number) => number {
    const now = this.findBucket(at);
    for (const bucket of counts.keys()) {
      if (bucket < now - SECOND_MAX_AGE) {
        counts.delete(bucket);
      }
    }
    const sums: number[] = [];
    for (let age = 0; age <= SECOND_MAX_AGE; age += 1) {
      sums.push((sums[age - 1] ?? 0) + (counts.get(now - age) ?? 0));
    }
    return buckets =>
      buckets < 0 ? 0 : sums[Math.min(buckets, sums.length - 1)];
  }
}

function add(counts: Counts, bucket: number): void {
  counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
}

/** The mean number of requests of the two windows, as of this many buckets after now. */
function computeMeanRequests(
  countBack: (buckets: number) => number,
  ahead: number,
): number {
  const first = countBack(FIRST_MAX_AGE - ahead);
  const second =
    countBack(SECOND_MAX_AGE - ahead) - countBack(SECOND_MIN_AGE - 1 - ahead);
  return WEIGHT * (first + second);
}
