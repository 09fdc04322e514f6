/** How many loads of weights may begin: a bucket that fills with time. */
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
   * Creates an empty allowance: a leader cannot know what the one before spent.
   *
   * @example
   * const allowance = LoadAllowance.create(3, clock.now());
   */
  static create(perSecond: number, now: number): TokenBucket {
    return new TokenBucket(perSecond, 0, now);
  }

  /** Begins anew with nothing saved up. */
  clear(now: number): void {
    this.tokens = 0;
    this.filledAt = now;
  }

  /** Takes one load; false when it must wait. */
  take(perSecond: number, now: number): boolean {
    const MS_PER_SECOND = 1_000;
    this.perSecond = perSecond;
    const added = ((now - this.filledAt) * this.perSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.perSecond, this.tokens + added);
    this.filledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
