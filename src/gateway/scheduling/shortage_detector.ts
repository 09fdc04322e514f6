/** Decides from what is turned away whether requests that can only be late may take slots. */
import {EngineLoad} from './engine_load';

/** Without a request in time that was turned away for this long, slots suffice for late ones as well. */
const SHORTAGE_MS = 4_000;

/**
 * Remembers when requests were turned away that could have been in time. While that happens,
 * each slot for a late request makes another one late.
 */
export class ShortageDetector {
  private readonly turnedAwayAt = new Map<number, number>();

  private constructor() {}

  /**
   * Creates a detector that knows of no shortage.
   *
   * @example
   * const shortage = ShortageDetector.create();
   * shortage.recordTurnedAway(1, clock.now());
   */
  static create(): ShortageDetector {
    return new ShortageDetector();
  }

  /** Records that a request of this urgency was turned away which could have been in time. */
  recordTurnedAway(urgency: number, now: number): void {
    this.turnedAwayAt.set(urgency, now);
  }

  /** True where late requests get no slots: as urgent or more urgent ones lack them, and most slots are taken. */
  excludesLate(
    urgency: number,
    {freeSlots, running}: EngineLoad,
    now: number,
  ): boolean {
    const isShort = [...this.turnedAwayAt].some(
      ([other, at]) => other <= urgency && now - at <= SHORTAGE_MS,
    );
    return isShort && freeSlots <= running;
  }
}
