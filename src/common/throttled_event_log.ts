/** Limits the rate at which repeated events of a kind are recorded. */
import {Clock} from './clock';
import {EventRing} from './event_ring';
import {SystemEvent} from './system_event';

/** Bursts last for seconds: one event a second shows how they develop. */
const MIN_INTERVAL_MS = 1_000;
/** Limits memory, because a kind may contain text from outside; the least recently recorded kind is dropped. */
const MAX_KINDS = 100;

/** Records the first event of a kind immediately, and later ones at most once a second with the number of those left out. */
export class ThrottledEventLog {
  private readonly lastRecordedAt = new Map<string, number>();
  private readonly suppressedCounts = new Map<string, number>();

  private constructor(
    private readonly events: EventRing,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = ThrottledEventLog.create(events, clock);
   * log.record('registration-ask no lease', event);
   */
  static create(events: EventRing, clock: Clock): ThrottledEventLog {
    return new ThrottledEventLog(events, clock);
  }

  /**
   * Records an event, or only counts it if one of its kind was recorded within the interval.
   *
   * @param kind events of one kind share a limit; there must be few kinds
   */
  record(kind: string, event: SystemEvent): void {
    const now = this.clock.now();
    if (now - (this.lastRecordedAt.get(kind) ?? -Infinity) < MIN_INTERVAL_MS) {
      this.suppressedCounts.set(
        kind,
        (this.suppressedCounts.get(kind) ?? 0) + 1,
      );
      return;
    }
    const leftOut = this.suppressedCounts.get(kind) ?? 0;
    // Reinserts the kind, so that the map's first key is the least recently recorded one.
    this.lastRecordedAt.delete(kind);
    this.lastRecordedAt.set(kind, now);
    this.suppressedCounts.delete(kind);
    const [oldest] = this.lastRecordedAt.keys();
    if (this.lastRecordedAt.size > MAX_KINDS) {
      this.lastRecordedAt.delete(oldest);
      this.suppressedCounts.delete(oldest);
    }
    const details = leftOut > 0 ? {...event.details, leftOut} : event.details;
    this.events.record({...event, details});
  }
}
