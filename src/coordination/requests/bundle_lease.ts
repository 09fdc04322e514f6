/** The right to take new work, which each answer of control renews. */
export class BundleLease {
  private until = -Infinity;

  private constructor() {}

  /**
   * Creates a lease that is not held.
   *
   * @example
   * const lease = BundleLease.create();
   * lease.renew(askedAt, directive.leaseMs);
   */
  static create(): BundleLease {
    return new BundleLease();
  }

  /**
   * Renews the lease, counted from before the question: a late answer cannot
   * lengthen it.
   *
   * @param askedAt milliseconds on the asker's clock
   */
  renew(askedAt: number, leaseMs: number): void {
    this.until = Math.max(this.until, askedAt + leaseMs);
  }

  /** True while control confirmed the bundle lately enough. */
  isHeld(now: number): boolean {
    return now < this.until;
  }
}
