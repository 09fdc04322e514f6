/** Engines that have no slot for this gateway, after a refusal showed that the reported free slots are out of date. */

/** Shorter than the age of the reports from which free slots are computed, as another slot may be freed at any time. */
const FIRST_MS = 100;
/** Callers wait 2 s: six attempts fit into this time. */
const LONGEST_MS = 400;
/** Bounds memory, as each new group is another engine; far more than a pool has at a time. */
const MAX_ENGINES = 1_000;

/**
 * The reported numbers of requests that other gateways run are out of date, so
 * at full load engines often seem to have a free slot, to all gateways at once.
 * After a refusal only the slots that this gateway's own requests free are
 * used, until the reports are tried again; the pause doubles with each further
 * refusal.
 */
export class FullEngines {
  /** Slots that requests of this gateway have freed since the last refusal, by engine. */
  private readonly ownFreed = new Map<string, number>();
  private refusals = 0;
  private until = -Infinity;
  /** Of the most urgent request that was refused: more urgent ones may find a slot that is reserved for them. */
  private urgency = Infinity;

  private constructor() {}

  /**
   * Creates an empty list.
   *
   * @example
   * const full = FullEngines.create();
   */
  static create(): FullEngines {
    return new FullEngines();
  }

  recordRefused(key: string, urgency: number, now: number): void {
    if (now > this.until + LONGEST_MS) {
      this.refusals = 0;
    }
    if (this.ownFreed.size > MAX_ENGINES) {
      this.ownFreed.clear();
    }
    if (now >= this.until) {
      this.urgency = Infinity;
      this.ownFreed.forEach((_, known) => this.ownFreed.set(known, 0));
    }
    const pauseMs = Math.min(FIRST_MS * 2 ** this.refusals, LONGEST_MS);
    this.refusals += 1;
    this.urgency = Math.min(this.urgency, urgency);
    this.until = now + pauseMs;
    this.ownFreed.set(key, 0);
  }

  recordFreed(key: string): void {
    this.ownFreed.set(key, (this.ownFreed.get(key) ?? 0) + 1);
  }

  recordSent(key: string): void {
    this.ownFreed.set(key, Math.max(0, (this.ownFreed.get(key) ?? 0) - 1));
  }

  /** Lists the keys of engines without a slot for requests of this urgency from this gateway. */
  list(urgency: number, now: number): string[] {
    if (now >= this.until || urgency < this.urgency) {
      return [];
    }
    return [...this.ownFreed].flatMap(([key, count]) =>
      count === 0 ? [key] : [],
    );
  }
}
