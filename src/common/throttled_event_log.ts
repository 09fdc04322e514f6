/** Keeps a kind of event that may come in storms down to a bounded number of lines. */
import {Clock} from './clock';
import {EventRing} from './event_ring';
import {SystemEvent} from './system_event';

/** Storms last for seconds: a line for each second shows how one goes on. */
const EVERY_MS = 1_000;
/** Beyond it the oldest are forgotten: kinds are few, unless somebody outside makes them up. */
const MAX_KINDS = 100;

/** Records the first event of a kind at once, and later ones at most once a second with the number left out. */
export class ThrottledEventLog {
  private readonly recordedAt = new Map<string, number>();
  private readonly leftOut = new Map<string, number>();

  private constructor(
    private readonly events: EventRing,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates lines that write into `events`.
   *
   * @example
   * const lines = ThrottledLines.create(events, clock);
   * lines.record('registration-ask no lease', event);
   */
  static create(events: EventRing, clock: Clock): ThrottledEventLog {
    return new ThrottledEventLog(events, clock);
  }

  /** @param kind events of one kind share their limit; kinds must be few */
  record(kind: string, event: SystemEvent): void {
    const now = this.clock.now();
    if (now - (this.recordedAt.get(kind) ?? -Infinity) < EVERY_MS) {
      this.leftOut.set(kind, (this.leftOut.get(kind) ?? 0) + 1);
      return;
    }
    const leftOut = this.leftOut.get(kind) ?? 0;
    // The newest stands last, so that the oldest is the first.
    this.recordedAt.delete(kind);
    this.recordedAt.set(kind, now);
    this.leftOut.delete(kind);
    const [oldest] = this.recordedAt.keys();
    if (this.recordedAt.size > MAX_KINDS) {
      this.recordedAt.delete(oldest);
      this.leftOut.delete(oldest);
    }
    const details = leftOut > 0 ? {...event.details, leftOut} : event.details;
    this.events.record({...event, details});
  }
}
