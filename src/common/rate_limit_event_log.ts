/** Records events about the rate limits that backend servers advertise. */
import {Clock} from './clock';
import {EventRing} from './event_ring';
import {SystemEvent} from './system_event';
import {ThrottledEventLog} from './throttled_event_log';

/** A rate limit that a backend server advertised, changed or withdrew. */
interface RateLimitChange {
  readonly incarnation: string;
  /** Requests a second; null if the backend server advertises no limit any more. */
  readonly perSecond: number | null;
  /** The previous limit, in requests a second. */
  readonly before: number | undefined;
  readonly reason: string;
  readonly details: NonNullable<SystemEvent['details']>;
}

/** Records each new and ended limit; changed values, which can come with every response, at most once a second. */
export class RateLimitEventLog {
  private readonly throttled: ThrottledEventLog;

  private constructor(
    private readonly events: EventRing,
    clock: Clock,
  ) {
    this.throttled = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = RateLimitEventLog.create(events, clock);
   */
  static create(events: EventRing, clock: Clock): RateLimitEventLog {
    return new RateLimitEventLog(events, clock);
  }

  record(change: RateLimitChange): void {
    const {incarnation, perSecond, before, reason, details} = change;
    const isEnd = perSecond === null;
    const kind = isEnd ? 'ended' : before === undefined ? 'named' : 'changed';
    const event = {
      type: `limit-${kind}`,
      subject: 'host' as const,
      id: incarnation,
      reason,
      details: {
        ...details,
        ...(perSecond === null ? {} : {perSecond}),
        ...(before === undefined ? {} : {before}),
      },
    };
    if (kind === 'changed') {
      this.throttled.record(event.type, event);
    } else {
      this.events.record(event);
    }
  }
}
