/** What may still come of a response that nobody needs, so that its connection can be kept. */
const MAX_DRAINED_BYTES = 16 * 1024;
/** Longer than a server takes that sends head and body apart; for as long, the connection is busy. */
const DRAIN_TIMEOUT_MS = 200;

/** Discards the rest of one response, within limits of size and time. */
export class ResponseDrain {
  private remainingBytes = Infinity;
  private timer: NodeJS.Timeout | undefined;
  private isEnded = false;

  private constructor(private readonly onExceeded: () => void) {}

  /**
   * Creates a drain that has not begun: the response is still needed.
   *
   * @param onExceeded called once if the rest is too long or does not end soon
   * @example
   * const drain = ResponseDrain.create(() => controller.abort(error));
   */
  static create(onExceeded: () => void): ResponseDrain {
    return new ResponseDrain(onExceeded);
  }

  /** Discards the response from now on; has no effect once it has ended. */
  begin(): void {
    if (!this.isEnded && this.timer === undefined) {
      this.remainingBytes = MAX_DRAINED_BYTES;
      this.timer = setTimeout(this.onExceeded, DRAIN_TIMEOUT_MS);
      this.timer.unref();
    }
  }

  /** Records a piece of the body, whether or not the drain has begun. */
  recordBody(bytes: number): void {
    this.remainingBytes -= bytes;
    if (this.remainingBytes < 0) {
      this.onExceeded();
    }
  }

  /** Records that the response has ended. */
  end(): void {
    this.isEnded = true;
    clearTimeout(this.timer);
  }
}
