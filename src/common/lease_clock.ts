/**
 * A clock for rights that somebody else relies on. The steady clock does not count
 * the time for which a machine is suspended, so that a lease is too young by its
 * length; the time of day does count it, and is set as well. Where the two part,
 * this clock takes the reading that ends leases: no time is ever counted too short.
 *
 * Whoever has promised something for a while must go by the steady clock instead:
 * that one never counts too long.
 */
import {Clock} from './clock';

/**
 * Beyond this the clocks have parted: the time of day counts whole milliseconds and
 * is kept right by some 0.5 ms a second, and it is looked at every 20 ms or so.
 */
const PARTED_MS = 50;
/** A step back may hide a suspension of any length: longer than any lease. */
const UNKNOWN_MS = 60_000;
/** A moment between two readings is no difference between clocks; more is read again. */
const SAME_MOMENT_MS = 2;
const MAX_READINGS = 3;

/** What was seen when the clocks parted. */
interface Pause {
  /** How much further the time of day is than the steady clock went; below 0 for a step back. */
  readonly steppedMs: number;
  /** What is counted for it. */
  readonly countedMs: number;
}

/** What the clock goes by. */
interface LeaseClockOptions {
  readonly monotonic: Clock;
  /** Milliseconds of the time of day. */
  readonly wall: () => number;
  /** Told at the first look after the clocks have parted. */
  readonly onPause?: (pause: Pause) => void;
}

/** Looks at both clocks whenever it is asked, so that what wakes needs no timer to notice. */
export class LeaseClock implements Clock {
  /** Time of day less steady time, as of the last parting. */
  private offset: number;
  private uncountedMs = 0;
  private newest = -Infinity;
  private newestPauseAt = -Infinity;

  private constructor(private readonly options: LeaseClockOptions) {
    const {steady, wall} = this.readBoth();
    this.offset = wall - steady;
  }

  /**
   * Creates a clock that has missed nothing yet.
   *
   * @example
   * const clock = LeaseClock.create({steady: systemClock, wall: () => Date.now()});
   * const isHeld = clock.now() - askedAt < leaseMs;
   */
  static create(options: LeaseClockOptions): LeaseClock {
    return new LeaseClock(options);
  }

  /** Milliseconds that never lag behind true time by more than a moment; never goes back. */
  readonly now = (): number => this.read();

  /** When this process last woke to clocks that had parted, on the steady clock: nothing from before it may be relied on. */
  get pausedAt(): number {
    this.read();
    return this.newestPauseAt;
  }

  private read(): number {
    const {steady, wall} = this.readBoth();
    const steppedMs = wall - steady - this.offset;
    if (Math.abs(steppedMs) > PARTED_MS) {
      this.recordPause(steady, steppedMs);
    }
    // What is not worth a word yet counts all the same.
    const slightMs = Math.max(0, wall - steady - this.offset);
    const now = steady + this.uncountedMs + slightMs;
    this.newest = Math.max(this.newest, now);
    return this.newest;
  }

  private recordPause(steady: number, steppedMs: number): void {
    const countedMs = steppedMs > 0 ? steppedMs : UNKNOWN_MS;
    this.offset += steppedMs;
    this.uncountedMs += countedMs;
    this.newestPauseAt = steady;
    this.options.onPause?.({steppedMs, countedMs});
  }

  private readBoth(): {steady: number; wall: number} {
    const {options} = this;
    for (let reading = 1; ; reading += 1) {
      const before = options.monotonic.now();
      const wall = options.wall();
      const tookMs = options.monotonic.now() - before;
      if (tookMs < SAME_MOMENT_MS || reading === MAX_READINGS) {
        return {steady: before, wall};
      }
    }
  }
}
