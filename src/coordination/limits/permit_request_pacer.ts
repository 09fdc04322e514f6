/** Pacing of the permit requests of a gateway for one backend server, and the retry times of its refused callers. */

/** Pause before the next permit request when the leader did not respond, in milliseconds. */
const NO_RESPONSE_PAUSE_MS = 200;

/** Response of the leader, as far as it concerns pacing. */
interface PacingResponse {
  /** Time until the next permit request. */
  readonly pauseMs: number;
  /** Expected time between two permits. */
  readonly intervalMs: number;
}

/** Follows the responses of the leader; all times are monotonic milliseconds of the caller. */
export class PermitRequestPacer {
  private nextRequestAt = -Infinity;
  private intervalMs = NO_RESPONSE_PAUSE_MS;
  /** Retry time that was given to the last refused caller. */
  private retryAt = -Infinity;
  private isRequestPending = false;

  private constructor() {}

  /**
   * Creates the pacer of a backend server for which no permit was requested yet.
   *
   * @example
   * const pacer = PermitRequestPacer.create();
   */
  static create(): PermitRequestPacer {
    return new PermitRequestPacer();
  }

  /** Allows one request at a time, and none before the pause that the leader demanded is over. */
  canRequest(now: number): boolean {
    return !this.isRequestPending && now >= this.nextRequestAt;
  }

  startRequest(): void {
    this.isRequestPending = true;
  }

  /** @param response undefined if no leader responded */
  finishRequest(response: PacingResponse | undefined, now: number): void {
    this.isRequestPending = false;
    this.intervalMs = response?.intervalMs ?? NO_RESPONSE_PAUSE_MS;
    this.nextRequestAt = now + (response?.pauseMs ?? NO_RESPONSE_PAUSE_MS);
  }

  /** Returns the milliseconds after which a refused caller should retry, behind those refused before it. */
  computeRetryAfterMs(now: number): number {
    return Math.max(this.nextRequestAt, this.retryAt + this.intervalMs) - now;
  }

  /** Records that a caller was told to retry after this time. */
  recordRetryAfter(retryAfterMs: number, now: number): void {
    this.retryAt = now + retryAfterMs;
  }
}
