/** When a gateway may ask for a permit for one backend server, and when its callers find a place there. */

/** A leader that did not answer is asked again after this, in milliseconds. */
const UNANSWERED_PAUSE_MS = 200;

/** What the leader said. */
interface PacingVerdict {
  readonly pauseMs: number;
  readonly intervalMs: number;
}

/** Follows the leader's answers; all times are the caller's monotonic milliseconds. */
export class PermitRequestPacer {
  private askAgainAt = -Infinity;
  private intervalMs = UNANSWERED_PAUSE_MS;
  /** When the caller that was last told to come back finds a place. */
  private returnsAt = -Infinity;
  private isAsking = false;

  private constructor() {}

  /**
   * Creates the pacing of a backend server for which nothing was asked yet.
   *
   * @example
   * const pacing = PermitPacing.create();
   */
  static create(): PermitRequestPacer {
    return new PermitRequestPacer();
  }

  /** One question at a time, and none before the leader wants it. */
  canRequest(now: number): boolean {
    return !this.isAsking && now >= this.askAgainAt;
  }

  startRequest(): void {
    this.isAsking = true;
  }

  /** @param verdict undefined where no leader answered */
  finishRequest(verdict: PacingVerdict | undefined, now: number): void {
    this.isAsking = false;
    this.intervalMs = verdict?.intervalMs ?? UNANSWERED_PAUSE_MS;
    this.askAgainAt = now + (verdict?.pauseMs ?? UNANSWERED_PAUSE_MS);
  }

  /** Until a caller that is refused now finds a place after those told before it. */
  computeRetryAfterMs(now: number): number {
    return Math.max(this.askAgainAt, this.returnsAt + this.intervalMs) - now;
  }

  /** Notes that a caller was told to come back then. */
  recordRetryAfter(inMs: number, now: number): void {
    this.returnsAt = now + inMs;
  }
}
