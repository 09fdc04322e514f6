/** Decides which requests a process still accepts during shutdown, and when it must abandon the rest. */

/**
 * Load balancers check health once a second and act on the second failure. A request
 * that still arrives later comes from a caller that knows of the shutdown, or has no
 * other process to go to.
 */
const NOTICE_PERIOD_MS = 2_500;
/** Reserved for sending the last responses, between abandoning work and being killed. */
const END_MARGIN_MS = 700;
/** Upper limit of the margin as a share of the timeout, so that requests get most of a short one. */
const END_MARGIN_SHARE = 1 / 8;

/** Time limits of a shutdown. */
interface ShutdownScheduleOptions {
  /** From the signal until the process is killed, in milliseconds. */
  readonly timeoutMs: number;
  /** How long callers may be unaware of the shutdown, in milliseconds. */
  readonly noticePeriodMs?: number;
}

/** The schedule of one graceful shutdown, on the process's monotonic clock. */
export class ShutdownSchedule {
  private startedAt: number | undefined;

  private constructor(private readonly options: ShutdownScheduleOptions) {}

  /**
   * Creates a schedule that has not started.
   *
   * @example
   * const schedule = ShutdownSchedule.create({timeoutMs: 8000});
   */
  static create(options: ShutdownScheduleOptions): ShutdownSchedule {
    return new ShutdownSchedule(options);
  }

  /** Starts the shutdown; later calls have no effect. */
  start(now: number): void {
    this.startedAt ??= now;
  }

  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /**
   * Whether a request should be accepted: before the shutdown always, and later if
   * it can finish in time and the notice period is not over. After that period
   * nothing is accepted, since at a steady rate the process would never drain.
   *
   * @param longestMs the longest recent duration of such requests
   */
  canAccept(now: number, longestMs: number): boolean {
    if (this.startedAt === undefined) {
      return true;
    }
    const isInTime = now + longestMs < this.deadline;
    return isInTime && !this.isNoticePeriodOver(now);
  }

  /** Whether all callers that check health have noticed the shutdown. */
  isNoticePeriodOver(now: number): boolean {
    const {noticePeriodMs: periodMs = NOTICE_PERIOD_MS} = this.options;
    return this.startedAt !== undefined && now - this.startedAt >= periodMs;
  }

  /** Whether requests still in progress must be abandoned. */
  isTimeUp(now: number): boolean {
    return now >= this.deadline;
  }

  private get deadline(): number {
    const {timeoutMs} = this.options;
    const marginMs = Math.min(END_MARGIN_MS, timeoutMs * END_MARGIN_SHARE);
    return (this.startedAt ?? Infinity) + timeoutMs - marginMs;
  }
}
