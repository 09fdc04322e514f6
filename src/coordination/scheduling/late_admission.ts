/**
 * Late requests of one urgency wait for at most this long in an overload
 * without end: a burst of 5 s is served completely, and the callers of the last
 * requests wait 2 s.
 */
const MAX_OVERLOAD_MS = 6_000;
/** An overload is over when no request was late for this long. */
const END_MS = 2_000;

/**
 * Decides whether requests that can only be late may wait. In a lasting overload
 * each late answer delays another request, until all answers are late; then
 * requests that cannot be in time are refused, and those in time are served.
 */
export class LateAdmission {
  private since = -Infinity;
  private lastAt = -Infinity;

  private constructor() {}

  /**
   * Creates the decision for one urgency, without an overload.
   *
   * @example
   * const late = LateAdmission.create();
   */
  static create(): LateAdmission {
    return new LateAdmission();
  }

  /**
   * Records a late request; true if it may wait.
   *
   * @param hasSpare slots are freed faster than requests arrive
   */
  decide(now: number, hasSpare: boolean): boolean {
    if (now - this.lastAt > END_MS) {
      this.since = now;
    }
    this.lastAt = now;
    return hasSpare || now - this.since < MAX_OVERLOAD_MS;
  }
}
