/** Measures how fast the running requests of the other gateways become more. */
import {Clock} from '../../common/clock';

/** Reports closer together than this are not compared: single requests would look like a high rate. */
const MIN_INTERVAL_MS = 200;
/** Older reports say nothing about the present growth. */
const MAX_AGE_MS = 1_000;

interface Total {
  readonly at: number;
  readonly running: number;
}

/** Compares the reported totals of each queue, which stand for all other gateways and not only for this one's requests. */
export class RunningGrowth {
  /** Reported totals by queue, oldest first. */
  private readonly totals = new Map<string, Total[]>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a measurement without reports.
   *
   * @example
   * const growth = RunningGrowth.create(clock);
   */
  static create(clock: Clock): RunningGrowth {
    return new RunningGrowth(clock);
  }

  /** Records the requests that the other gateways run, by queue. */
  recordReport(running: ReadonlyMap<string, number>): void {
    const now = this.clock.now();
    for (const queue of new Set([...this.totals.keys(), ...running.keys()])) {
      const recent = (this.totals.get(queue) ?? []).filter(
        ({at}) => now - at < MAX_AGE_MS,
      );
      this.totals.set(queue, [
        ...recent,
        {at: now, running: running.get(queue) ?? 0},
      ]);
    }
  }

  /** Estimates by how many requests the others' total has grown in the last `ageMs`; 0 where it shrinks or is unknown. */
  estimate(queue: string, ageMs: number): number {
    const totals = this.totals.get(queue) ?? [];
    const last = totals[totals.length - 1];
    const earlier = totals.filter(({at}) => last.at - at >= MIN_INTERVAL_MS);
    const reference = earlier[earlier.length - 1];
    if (!reference) {
      return 0;
    }
    const perMs = (last.running - reference.running) / (last.at - reference.at);
    return Math.max(0, perMs * ageMs);
  }
}
