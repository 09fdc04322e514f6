/** Measures the arrivals of requests by urgency. */

/** Time constant of the exponential decay: a burst and its end show within two seconds. */
const DECAY_MS = 2_000;
/** Minimum age of the meter, as a few early arrivals would otherwise look like a high rate. */
const MIN_AGE_MS = 500;
/** Rates below this are those of levels that no longer receive requests, per millisecond. */
const NEGLIGIBLE_PER_MS = 1e-5;

interface Decayed {
  count: number;
  at: number;
}

/** Decayed counts of arrivals, without a clock of its own. */
export class ArrivalMeter {
  private readonly levels = new Map<number, Decayed>();

  private constructor(private readonly startedAt: number) {}

  /**
   * Creates a meter without arrivals.
   *
   * @example
   * const arrivals = ArrivalMeter.create(clock.now());
   */
  static create(now: number): ArrivalMeter {
    return new ArrivalMeter(now);
  }

  record(urgency: number, now: number): void {
    const count = this.computeDecayed(urgency, now) + 1;
    this.levels.set(urgency, {count, at: now});
  }

  /** Returns the arrivals per millisecond of one urgency. */
  findRate(urgency: number, now: number): number {
    const ageMs = Math.max(now - this.startedAt, MIN_AGE_MS);
    const spanMs = DECAY_MS * (1 - Math.exp(-ageMs / DECAY_MS));
    const rate = this.computeDecayed(urgency, now) / spanMs;
    return rate < NEGLIGIBLE_PER_MS ? 0 : rate;
  }

  /** Returns the arrivals per millisecond of all requests more urgent than this. */
  computeMoreUrgentRate(urgency: number, now: number): number {
    let sum = 0;
    for (const other of this.levels.keys()) {
      sum += other < urgency ? this.findRate(other, now) : 0;
    }
    return sum;
  }

  /** Lists the urgencies of the requests seen so far, the most urgent first. */
  listUrgencies(): number[] {
    return [...this.levels.keys()].sort((a, b) => a - b);
  }

  private computeDecayed(urgency: number, now: number): number {
    const {count, at} = this.levels.get(urgency) ?? {count: 0, at: now};
    return count * Math.exp((at - now) / DECAY_MS);
  }
}
