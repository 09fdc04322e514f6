/** The number of gateways among which limits are divided. */
import {Clock} from '../../common/clock';

/**
 * A new leader counts a gateway with its first poll, and one that is cut off from control drops
 * out while it still serves; both are over within this time.
 */
const WINDOW_MS = 10_000;

interface Count {
  readonly at: number;
  readonly gateways: number;
}

/** Keeps the largest recent count: a limit that is divided by too few is exceeded. */
export class GatewayCounts {
  private counts: Count[] = [];

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a count of one, this gateway.
   *
   * @example
   * const counts = GatewayCounts.create(clock);
   * counts.record(answer.gateways);
   */
  static create(clock: Clock): GatewayCounts {
    return new GatewayCounts(clock);
  }

  /** Records what the leader told. */
  record(gateways: number): void {
    const now = this.clock.now();
    // Smaller counts before this one can't become the largest again.
    this.counts = this.counts.filter(count => count.gateways > gateways);
    this.counts.push({at: now, gateways});
  }

  /** The largest count of the last seconds; the newest one if nothing was told since. */
  get largest(): number {
    const since = this.clock.now() - WINDOW_MS;
    const newest = this.counts.slice(-1);
    const recent = this.counts.filter(({at}) => at > since);
    return Math.max(1, ...[...recent, ...newest].map(each => each.gateways));
  }
}
