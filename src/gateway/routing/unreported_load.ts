/** Estimates the requests that other gateways have sent since their last report. */
import {Clock} from '../../common/clock';

/**
 * Long enough for about twenty requests of a busy gateway, short enough to
 * follow a burst.
 */
const WINDOW_MS = 2_000;

interface Start {
  readonly at: number;
  readonly promptTokens: number;
}

/** Extrapolates from this gateway's own requests, as the others get similar traffic. */
export class UnreportedLoad {
  /** Requests that this gateway sent recently, by queue, oldest first. */
  private readonly starts = new Map<string, Start[]>();
  private others = 0;
  private reportedAt: number;
  private reportIntervalMs = 0;

  private constructor(private readonly clock: Clock) {
    this.reportedAt = clock.now();
  }

  /**
   * Creates an estimate without other gateways.
   *
   * @example
   * const unreported = UnreportedLoad.create(clock);
   */
  static create(clock: Clock): UnreportedLoad {
    return new UnreportedLoad(clock);
  }

  /** Records a request that this gateway sent. */
  recordStart(queue: string, promptTokens: number): void {
    const recent = this.listRecent(queue);
    this.starts.set(queue, [...recent, {at: this.clock.now(), promptTokens}]);
  }

  /** Records that the load of so many other gateways was reported. */
  recordReport(others: number): void {
    const now = this.clock.now();
    this.reportIntervalMs = now - this.reportedAt;
    this.reportedAt = now;
    this.others = others;
  }

  /**
   * Mean age of the other gateways' numbers, in milliseconds. A report is
   * collected from them over the interval before it, so its data is older by
   * half of that.
   */
  get reportAgeMs(): number {
    return this.clock.now() - this.reportedAt + this.reportIntervalMs / 2;
  }

  /** Estimates the requests that others sent to a queue since their report, and their prompt tokens. */
  estimate(queue: string): {requests: number; promptTokens: number} {
    const recent = this.listRecent(queue);
    const tokens = recent.reduce((sum, start) => sum + start.promptTokens, 0);
    const factor = (this.others * this.reportAgeMs) / WINDOW_MS;
    return {requests: recent.length * factor, promptTokens: tokens * factor};
  }

  private listRecent(queue: string): Start[] {
    const since = this.clock.now() - WINDOW_MS;
    return (this.starts.get(queue) ?? []).filter(({at}) => at > since);
  }
}
