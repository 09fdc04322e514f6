/** The longest recent duration by key, such as a route. */
import {Clock} from '../../common/clock';

/**
 * Long enough to include some long requests of a busy route, short enough to
 * follow the load.
 */
const WINDOW_MS = 30_000;

/** Keeps the maximum of the current window and of the previous one. */
export class SlidingMaximum {
  private current = new Map<string, number>();
  private previous: ReadonlyMap<string, number> = new Map();
  private windowSince: number;

  private constructor(private readonly clock: Clock) {
    this.windowSince = clock.now();
  }

  /**
   * Creates a maximum without samples.
   *
   * @example
   * const longest = SlidingMaximum.create(clock);
   */
  static create(clock: Clock): SlidingMaximum {
    return new SlidingMaximum(clock);
  }

  /** Records the duration of something that has ended, in milliseconds. */
  record(key: string, tookMs: number): void {
    this.advance();
    this.current.set(key, Math.max(tookMs, this.current.get(key) ?? 0));
  }

  /**
   * Returns the longest recent duration, in milliseconds; 0 if there is no
   * sample.
   */
  find(key: string): number {
    this.advance();
    return Math.max(this.current.get(key) ?? 0, this.previous.get(key) ?? 0);
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
