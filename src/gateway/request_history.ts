/** Collects what happened to one request, for the log and the forecast of slots. */
export class RequestHistory {
  private readonly targets: string[] = [];
  private eventCount = 0;
  private firstEventAt: number | undefined;
  private sentAt = 0;
  private firstSentAt: number | undefined;
  /** When an event was last forwarded to the caller; the arrival time before the first. */
  lastForwardedAt: number;
  private runningAtTarget = -1;
  private identity: string | undefined;
  private received: string | undefined;

  private constructor(private readonly arrivedAt: number) {
    this.lastForwardedAt = arrivedAt;
  }

  /**
   * Creates the history of a request that has not been sent yet.
   *
   * @param arrivedAt milliseconds of the process's monotonic clock
   * @example
   * const history = RequestHistory.create(clock.now());
   */
  static create(arrivedAt: number): RequestHistory {
    return new RequestHistory(arrivedAt);
  }

  /** True once it was sent to at least one backend server. */
  get wasSent(): boolean {
    return this.targets.length > 0;
  }

  /** Records the target of an attempt and the number of requests known to run there. */
  recordTarget(incarnation: string, running: number, now: number): void {
    this.targets.push(incarnation);
    this.runningAtTarget = running;
    this.sentAt = now;
    this.firstSentAt ??= now;
  }

  /** From sending to the first event, in milliseconds; undefined unless it was sent exactly once, as other times do not show an engine's speed. */
  get timeToFirstEventMs(): number | undefined {
    const wasSentOnce = this.targets.length === 1;
    return wasSentOnce && this.firstEventAt !== undefined
      ? this.firstEventAt - this.sentAt
      : undefined;
  }

  /** Events of an answer that came whole from one backend server; undefined if it was sent to several. */
  get eventsOfOneAttempt(): number | undefined {
    return this.targets.length === 1 ? this.eventCount : undefined;
  }

  /** Records that events were forwarded to the caller. */
  recordEvents(count: number, now: number): void {
    this.eventCount += count;
    this.firstEventAt ??= now;
    this.lastForwardedAt = now;
  }

  /** Records a lost connection and the identity by which a repetition of the request is recognized. */
  recordConnectionLoss(identity: string): void {
    this.identity = identity;
  }

  /** Records what came in place of an answer. */
  recordReceived(received: string): void {
    this.received = received;
  }

  /** Returns the fields for the log, at the end of the request. */
  describe(now: number) {
    const {arrivedAt, firstEventAt, firstSentAt} = this;
    const firstEventMs =
      firstEventAt === undefined ? -1 : Math.round(firstEventAt - arrivedAt);
    return {
      targets: this.targets,
      events: this.eventCount,
      firstEventMs,
      firstSentMs:
        firstSentAt === undefined ? -1 : Math.round(firstSentAt - arrivedAt),
      runningAtTarget: this.runningAtTarget,
      tookMs: Math.round(now - arrivedAt),
      identity: this.identity,
      received: this.received,
    };
  }
}
