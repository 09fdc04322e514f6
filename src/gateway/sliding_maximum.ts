/** The longest that requests took lately, by route. */
import {Clock} from '../common/clock';

/** Long enough to hold some long requests of a busy route, short enough to follow the load. */
const WINDOW_MS = 30_000;

/** Remembers over the window that runs and the one before it. */
export class SlidingMaximum {
  private current = new Map<string, number>();
  private previous: ReadonlyMap<string, number> = new Map();
  private windowSince: number;

  private constructor(private readonly clock: Clock) {
    this.windowSince = clock.now();
  }

  /**
   * Creates an empty memory.
   *
   * @example
   * const times = LongestTimes.create(clock);
   */
  static create(clock: Clock): SlidingMaximum {
    return new SlidingMaximum(clock);
  }

  /** Notes how long something took that came to its end, in milliseconds. */
  record(route: string, tookMs: number): void {
    this.advance();
    this.current.set(route, Math.max(tookMs, this.current.get(route) ?? 0));
  }

  /** The longest of a route, in milliseconds; 0 when none was seen. */
  find(route: string): number {
    this.advance();
    return Math.max(
      this.current.get(route) ?? 0,
      this.previous.get(route) ?? 0,
    );
  }

  private advance(): void {
    const now = this.clock.now();
    const passedMs = now - this.windowSince;
    if (passedMs < WINDOW_MS) {
      return;
    }
    this.previous = passedMs < 2 * WINDOW_MS ? this.current : new Map();
    this.current = new Map();
    this.windowSince = now;
  }
}
