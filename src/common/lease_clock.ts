/**
 * A clock for the holder of a lease. The monotonic clock doesn't advance while a
 * machine is suspended, so by that clock a lease would appear too young; the wall clock
 * does advance, but it can also be set. Where the two diverge, this clock takes the
 * reading that makes leases expire earlier: it never measures an interval too short.
 *
 * The grantor of a lease must use the monotonic clock instead, which never measures
 * an interval too long.
 */
import {Clock} from './clock';

/**
 * A larger difference means a suspension or a clock step. Normal operation stays far
 * below: the wall clock has a resolution of 1 ms, is slewed by about 0.5 ms a second,
 * and is read about every 20 ms.
 */
const MAX_DIVERGENCE_MS = 50;
/** Added after a step back, which may hide a suspension of any length; longer than any lease. */
const UNKNOWN_PAUSE_MS = 60_000;
/** Both clocks are read again if reading them took longer, because the delay would count as divergence. */
const MAX_READ_GAP_MS = 2;
const MAX_READINGS = 3;

/** A divergence of the two clocks. */
interface Pause {
  /** How far the wall clock advanced beyond the monotonic clock; negative for a step back. */
  readonly steppedMs: number;
  /** How much this clock advances for it. */
  readonly countedMs: number;
}

/** The underlying clocks. */
interface LeaseClockOptions {
  readonly monotonic: Clock;
  /** Wall-clock milliseconds. */
  readonly wall: () => number;
  /** Called by the first reading after the clocks diverged. */
  readonly onPause?: (pause: Pause) => void;
}

/** Compares both clocks at each reading, so a resumed process detects the pause without a timer. */
export class LeaseClock implements Clock {
  /** Wall-clock time minus monotonic time, as of the last divergence. */
  private wallOffset: number;
  private addedMs = 0;
  private lastReading = -Infinity;
  private lastPauseAt = -Infinity;

  private constructor(private readonly options: LeaseClockOptions) {
    const {monotonic, wall} = this.readBoth();
    this.wallOffset = wall - monotonic;
  }

  /**
   * Creates a clock that takes the current offset between both clocks as its reference.
   *
   * @example
   * const clock = LeaseClock.create({monotonic: systemClock, wall: () => Date.now()});
   * const isHeld = clock.now() - requestedAt < leaseMs;
   */
  static create(options: LeaseClockOptions): LeaseClock {
    return new LeaseClock(options);
  }

  /** Milliseconds that advance at least as fast as real time, within the resolution of the clocks; never decreases. */
  readonly now = (): number => this.read();

  /** Monotonic time at which the last divergence was detected; leases confirmed before it must not be relied on. */
  get pausedAt(): number {
    this.read();
    return this.lastPauseAt;
  }

  private read(): number {
    const {monotonic, wall} = this.readBoth();
    const steppedMs = wall - monotonic - this.wallOffset;
    if (Math.abs(steppedMs) > MAX_DIVERGENCE_MS) {
      this.recordPause(monotonic, steppedMs);
    }
    // A divergence below the threshold isn't reported, but still counted.
    const unreportedMs = Math.max(0, wall - monotonic - this.wallOffset);
    const now = monotonic + this.addedMs + unreportedMs;
    this.lastReading = Math.max(this.lastReading, now);
    return this.lastReading;
  }

  private recordPause(monotonic: number, steppedMs: number): void {
    const countedMs = steppedMs > 0 ? steppedMs : UNKNOWN_PAUSE_MS;
    this.wallOffset += steppedMs;
    this.addedMs += countedMs;
    this.lastPauseAt = monotonic;
    this.options.onPause?.({steppedMs, countedMs});
  }

  private readBoth(): {monotonic: number; wall: number} {
    const {options} = this;
    for (let reading = 1; ; reading += 1) {
      const before = options.monotonic.now();
      const wall = options.wall();
      const tookMs = options.monotonic.now() - before;
      if (tookMs < MAX_READ_GAP_MS || reading === MAX_READINGS) {
        return {monotonic: before, wall};
      }
    }
  }
}
