/** What a process that was told to stop still takes, and when it must have ended. */

/** Balancers ask once a second and act on the second miss; what comes later knows that this process stops, or has nowhere else to go. */
const NOTICE_MS = 2_500;
/** Kept for last answers on their way, between the end of work and the end by force. */
const END_MARGIN_MS = 700;
/** Never more than this part of a short stop, so that work has most of it. */
const END_MARGIN_SHARE = 1 / 8;

/** How long a stop may take. */
interface StopScheduleOptions {
  /** From the signal to the end by force, in milliseconds. */
  readonly timeoutMs: number;
  /** While callers may not know yet, in milliseconds. */
  readonly noticePeriodMs?: number;
}

/** The schedule of one planned stop; times are of the process's monotonic clock. */
export class ShutdownSchedule {
  private toldAt: number | undefined;

  private constructor(private readonly options: StopScheduleOptions) {}

  /**
   * Creates the schedule of a process that was not told to stop.
   *
   * @example
   * const schedule = StopSchedule.create({withinMs: 8000});
   */
  static create(options: StopScheduleOptions): ShutdownSchedule {
    return new ShutdownSchedule(options);
  }

  /** The process was told to stop; a second time changes nothing. */
  start(now: number): void {
    this.toldAt ??= now;
  }

  get hasStarted(): boolean {
    return this.toldAt !== undefined;
  }

  /**
   * True for work that will be finished before the end. Taking ends when callers
   * have noticed, since at a steady rate there would always be work under way.
   *
   * @param longestMs the longest that such work took lately
   */
  canAccept(now: number, longestMs: number): boolean {
    if (this.toldAt === undefined) {
      return true;
    }
    const isInTime = now + longestMs < this.endsAt;
    return isInTime && !this.isNoticePeriodOver(now);
  }

  /** True once everybody who asks has noticed the stop. */
  isNoticePeriodOver(now: number): boolean {
    const {noticePeriodMs: noticeMs = NOTICE_MS} = this.options;
    return this.toldAt !== undefined && now - this.toldAt >= noticeMs;
  }

  /** True when what is still under way must be given up. */
  isTimeUp(now: number): boolean {
    return now >= this.endsAt;
  }

  private get endsAt(): number {
    const {timeoutMs: withinMs} = this.options;
    const marginMs = Math.min(END_MARGIN_MS, withinMs * END_MARGIN_SHARE);
    return (this.toldAt ?? Infinity) + withinMs - marginMs;
  }
}
