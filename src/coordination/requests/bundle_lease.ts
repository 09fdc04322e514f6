/** A lease under which a process may accept new work; each response from the control plane renews it. */
export class BundleLease {
  private expiresAt = -Infinity;

  private constructor() {}

  /**
   * Creates a lease that is not held.
   *
   * @example
   * const lease = BundleLease.create();
   * lease.renew(requestedAt, directive.leaseMs);
   */
  static create(): BundleLease {
    return new BundleLease();
  }

  /**
   * Renews the lease. Its duration counts from when the request was sent, so that a
   * slow response cannot extend it.
   *
   * @param requestedAt milliseconds on the clock of this process
   */
  renew(requestedAt: number, leaseMs: number): void {
    this.expiresAt = Math.max(this.expiresAt, requestedAt + leaseMs);
  }

  /** Whether the control plane confirmed the bundle recently enough. */
  isHeld(now: number): boolean {
    return now < this.expiresAt;
  }
}
