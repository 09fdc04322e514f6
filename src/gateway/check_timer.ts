/** Checks open requests at regular intervals. */
import {Clock} from '../common/clock';

/** Interval at which waiting and streaming requests are checked; well under the pauses that count as stalls. */
const CHECK_MS = 20;
/** A longer gap between two checks means that this process was paused; well under the shortest pause that counts as a stall. */
const MAX_CHECK_GAP_MS = 4 * CHECK_MS;

interface CheckTimerOptions {
  readonly clock: Clock;
  readonly check: (now: number) => void;
  /** Called at each interval, also when the check is skipped. */
  readonly onTick: () => void;
}

/**
 * Skips one check after this process was paused: timers fire before received data is
 * read, so its own pause would look like a stall of every backend server. Never skips
 * two checks in a row, so that a slow process detects stalls, too.
 */
export class CheckTimer {
  private readonly timer: NodeJS.Timeout;
  /** When requests were last checked, or a check was skipped. */
  private lastCheckAt: number;
  private wasCheckSkipped = false;

  private constructor(private readonly options: CheckTimerOptions) {
    this.lastCheckAt = options.clock.now();
    this.timer = setInterval(() => this.tick(), CHECK_MS);
  }

  /**
   * Starts to check.
   *
   * @example
   * const timer = CheckTimer.create({clock, check: now => requests.forEach(each => each.check(now)), onTick});
   */
  static create(options: CheckTimerOptions): CheckTimer {
    return new CheckTimer(options);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const {clock, check, onTick} = this.options;
    onTick();
    const now = clock.now();
    const hasPaused = now - this.lastCheckAt > MAX_CHECK_GAP_MS;
    this.lastCheckAt = now;
    this.wasCheckSkipped = hasPaused && !this.wasCheckSkipped;
    if (!this.wasCheckSkipped) {
      check(now);
    }
  }
}
