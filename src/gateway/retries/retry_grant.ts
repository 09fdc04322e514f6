/** The right to send one request once more. */
import {Clock} from '../../common/clock';

/**
 * Time after which a grant must be renewed before the request is sent, since it counts from
 * when it was taken. Shorter than the transit that is allowed for a loan.
 */
const FRESH_MS = 500;

interface RetryGrantOptions {
  readonly leaseClock: Clock;
  /** Called when the request has reached the pool, or never will although it was sent. */
  readonly onSettled: () => void;
  /** Called when the request was not sent. */
  readonly onCanceled: () => void;
}

/** Counts against the budget until it is settled or canceled; the first of these ends it. */
export class RetryGrant {
  private readonly takenAt: number;
  private isEnded = false;

  private constructor(private readonly options: RetryGrantOptions) {
    this.takenAt = options.leaseClock.now();
  }

  /**
   * Creates a grant that was taken from the budget now.
   *
   * @example
   * const grant = RetryGrant.create({leaseClock, onSettled, onCanceled});
   */
  static create(options: RetryGrantOptions): RetryGrant {
    return new RetryGrant(options);
  }

  /** Whether the request may still be sent by it. */
  get isFresh(): boolean {
    const age = this.options.leaseClock.now() - this.takenAt;
    return !this.isEnded && age < FRESH_MS;
  }

  settle(): void {
    this.end(this.options.onSettled);
  }

  cancel(): void {
    this.end(this.options.onCanceled);
  }

  private end(report: () => void): void {
    if (!this.isEnded) {
      this.isEnded = true;
      report();
    }
  }
}
