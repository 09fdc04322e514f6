/** What happened to one request on its way, for the log. */
export class RequestHistory {
  private readonly tried: string[] = [];
  private eventCount = 0;
  private firstEventAt: number | undefined;
  private sentAt = 0;
  /** When its caller last got something; its arrival before that. */
  passedAt: number;
  private runningAtTarget = -1;
  private identity: string | undefined;

  private constructor(private readonly arrivedAt: number) {
    this.passedAt = arrivedAt;
  }

  /**
   * Creates the course of a request that was sent nowhere yet.
   *
   * @param arrivedAt milliseconds of the process's monotonic clock
   * @example
   * const course = FlowCourse.create(clock.now());
   */
  static create(arrivedAt: number): RequestHistory {
    return new RequestHistory(arrivedAt);
  }

  /** It was sent somewhere at least once. */
  get wasSent(): boolean {
    return this.tried.length > 0;
  }

  /** Notes where it is sent, and what is known to run there. */
  recordTarget(incarnation: string, running: number, now: number): void {
    this.tried.push(incarnation);
    this.runningAtTarget = running;
    this.sentAt = now;
  }

  /** From the only sending to the first event, in milliseconds; undefined where that says nothing of an engine's pace. */
  get workMs(): number | undefined {
    const wasSentOnce = this.tried.length === 1;
    return wasSentOnce && this.firstEventAt !== undefined
      ? this.firstEventAt - this.sentAt
      : undefined;
  }

  /** Notes an event that was passed on. */
  recordEvent(now: number): void {
    this.eventCount += 1;
    this.firstEventAt ??= now;
    this.passedAt = now;
  }

  /** Notes that a connection broke under it, and what tells it apart when it comes again. */
  recordBroken(identity: string): void {
    this.identity = identity;
  }

  /** All of it, at its end. */
  describe(now: number) {
    const {arrivedAt, firstEventAt} = this;
    const firstEventMs =
      firstEventAt === undefined ? -1 : Math.round(firstEventAt - arrivedAt);
    return {
      targets: this.tried,
      events: this.eventCount,
      firstEventMs,
      runningAtTarget: this.runningAtTarget,
      tookMs: Math.round(now - arrivedAt),
      identity: this.identity,
    };
  }
}
