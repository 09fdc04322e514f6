/** Token bucket that limits how many loads of weights may begin per second. */
export class TokenBucket {
  private tokens: number;
  private filledAt: number;

  private constructor(
    private perSecond: number,
    tokens: number,
    now: number,
  ) {
    this.tokens = tokens;
    this.filledAt = now;
  }

  /**
   * Creates an empty bucket: a new leader can't know how many tokens its predecessor used.
   *
   * @example
   * const bucket = TokenBucket.create(3, clock.now());
   */
  static create(perSecond: number, now: number): TokenBucket {
    return new TokenBucket(perSecond, 0, now);
  }

  /** Empties the bucket. */
  clear(now: number): void {
    this.tokens = 0;
    this.filledAt = now;
  }

  /** Takes one token at the given refill rate; false if there is none. The capacity is what a second refills, and at least one token. */
  take(perSecond: number, now: number): boolean {
    const MS_PER_SECOND = 1_000;
    this.perSecond = perSecond;
    const added = ((now - this.filledAt) * this.perSecond) / MS_PER_SECOND;
    const capacity = Math.max(1, this.perSecond);
    this.tokens = Math.min(capacity, this.tokens + added);
    this.filledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
