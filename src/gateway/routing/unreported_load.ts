/** Estimates the load that other gateways have added since their last report. */
import {Clock} from '../../common/clock';

/**
 * Long enough for about twenty requests of a busy gateway, short enough to
 * follow a burst.
 */
const WINDOW_MS = 2_000;

interface Start {
  readonly at: number;
  readonly tokens: number;
}

/** Extrapolates from this gateway's own load, as the others get similar traffic. */
export class UnreportedLoad {
  /** Load that this gateway added recently, by queue, oldest first. */
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

  /** Records load that this gateway added to a queue. */
  recordStart(queue: string, tokens: number): void {
    const recent = this.listRecent(queue);
    this.starts.set(queue, [...recent, {at: this.clock.now(), tokens}]);
  }

  /** Records that the load of so many other gateways was reported. */
  recordReport(others: number): void {
    const now = this.clock.now();
    this.reportIntervalMs = now - this.reportedAt;
    this.reportedAt = now;
    this.others = others;
  }

  /**
   * Estimates the load that others added to a queue since their report, in
   * tokens.
   */
  estimate(queue: string): number {
    const tokens = this.listRecent(queue).reduce(
      (sum, start) => sum + start.tokens,
      0,
    );
    // A report is collected from the other gateways over the interval before
    // it, so its data is older by half of that on average.
    const ageMs =
      this.clock.now() - this.reportedAt + this.reportIntervalMs / 2;
    return (this.others * tokens * ageMs) / WINDOW_MS;
  }

  private listRecent(queue: string): Start[] {
    const since = this.clock.now() - WINDOW_MS;
    return (this.starts.get(queue) ?? []).filter(({at}) => at > since);
  }
}
