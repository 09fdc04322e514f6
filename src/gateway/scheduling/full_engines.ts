/** Engines that refused a request of this gateway for lack of a slot, although they seemed to have one. */

/** Shorter than the age of the reports from which free slots are computed, as another slot may be freed at any time. */
const FIRST_MS = 100;
/** Callers wait 2 s: six attempts fit into this time. */
const LONGEST_MS = 400;

interface FullEngine {
  /** Of the most urgent request that was refused: more urgent ones may find a slot that is reserved for them. */
  urgency: number;
  refusals: number;
  until: number;
  /** Slots that requests of this gateway have freed there since. */
  ownFreed: number;
}

/**
 * The reported numbers of requests that other gateways run are out of date, so
 * at full load an engine often seems to have a free slot, to all gateways at
 * once. After a refusal only the slots that this gateway's own requests free
 * there are used, until a later report is tried; the time doubles with each
 * further refusal.
 */
export class FullEngines {
  private readonly engines = new Map<string, FullEngine>();

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
    const known = this.engines.get(key);
    const isOver = !known || known.until <= now;
    const refusals = (known?.refusals ?? 0) + 1;
    const pauseMs = Math.min(FIRST_MS * 2 ** (refusals - 1), LONGEST_MS);
    this.engines.set(key, {
      urgency: isOver ? urgency : Math.min(known.urgency, urgency),
      refusals,
      until: now + pauseMs,
      ownFreed: 0,
    });
  }

  recordFreed(key: string): void {
    const engine = this.engines.get(key);
    if (engine) {
      engine.ownFreed += 1;
    }
  }

  recordSent(key: string): void {
    const engine = this.engines.get(key);
    if (engine) {
      engine.ownFreed = Math.max(0, engine.ownFreed - 1);
    }
  }

  /** Lists the keys of engines without a slot for requests of this urgency from this gateway. */
  list(urgency: number, now: number): string[] {
    const full: string[] = [];
    for (const [key, engine] of this.engines) {
      const {until, ownFreed} = engine;
      if (now > until + LONGEST_MS) {
        this.engines.delete(key);
      } else if (now < until && ownFreed === 0 && urgency >= engine.urgency) {
        full.push(key);
      }
    }
    return full;
  }
}
