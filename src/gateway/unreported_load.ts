/** How much work other gateways have placed since this one last heard of theirs. */
import {Clock} from '../common/clock';

/** Long enough for some twenty starts of a busy gateway, short enough to follow a burst. */
const WINDOW_MS = 2_000;

interface Start {
  readonly at: number;
  readonly tokens: number;
}

/** Estimates it from this gateway's own work: the others have callers like its own. */
export class UnreportedLoad {
  /** Work that this gateway began lately, by line, oldest first. */
  private readonly starts = new Map<string, Start[]>();
  private others = 0;
  private toldAt: number;
  private betweenTellingsMs = 0;

  private constructor(private readonly clock: Clock) {
    this.toldAt = clock.now();
  }

  /**
   * Creates an estimate that knows of no other gateway.
   *
   * @example
   * const unseen = UnseenWork.create(clock);
   */
  static create(clock: Clock): UnreportedLoad {
    return new UnreportedLoad(clock);
  }

  /** This gateway began work at the engines of a line. */
  recordStart(line: string, tokens: number): void {
    const recent = this.listRecent(line);
    this.starts.set(line, [...recent, {at: this.clock.now(), tokens}]);
  }

  /** The work of so many other gateways was told. */
  recordReport(others: number): void {
    const now = this.clock.now();
    this.betweenTellingsMs = now - this.toldAt;
    this.toldAt = now;
    this.others = others;
  }

  /** What the others began at the engines of a line and nobody told yet, in tokens. */
  estimate(line: string): number {
    const tokens = this.listRecent(line).reduce(
      (sum, start) => sum + start.tokens,
      0,
    );
    // What is told was gathered from the others since the telling before: half of that ago.
    const ageMs = this.clock.now() - this.toldAt + this.betweenTellingsMs / 2;
    return (this.others * tokens * ageMs) / WINDOW_MS;
  }

  private listRecent(line: string): Start[] {
    const since = this.clock.now() - WINDOW_MS;
    return (this.starts.get(line) ?? []).filter(({at}) => at > since);
  }
}
