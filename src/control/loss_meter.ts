/** Measures how often members of groups are lost, to estimate how long a group lasts. */

/** Counts the time that hosts spend in groups and the groups that ended for a lost or leaving member. */
export class LossMeter {
  private hostMs = 0;
  private losses = 0;
  private updatedAt: number | undefined;

  private constructor() {}

  /**
   * Creates a meter without losses.
   *
   * @example
   * const losses = LossMeter.create();
   */
  static create(): LossMeter {
    return new LossMeter();
  }

  /** Adds the time since the last call for the hosts that are in groups now. */
  advance(hosts: number, now: number): void {
    this.hostMs += hosts * (now - (this.updatedAt ?? now));
    this.updatedAt = now;
  }

  /** Records that a group ended since it lost a member. */
  recordLoss(): void {
    this.losses += 1;
  }

  /**
   * Estimates how long a group of so many members lasts, in milliseconds. One more loss than
   * was seen is assumed, so that a meter without losses does not promise more than it has seen.
   */
  estimateLifetimeMs(size: number): number {
    return this.hostMs / (this.losses + 1) / size;
  }
}
