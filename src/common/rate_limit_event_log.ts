/** The lines that processes write about limits which backend servers name. */
import {Clock} from './clock';
import {EventRing} from './event_ring';
import {SystemEvent} from './system_event';
import {ThrottledEventLog} from './throttled_event_log';

/** What became known of a limit. */
interface LimitNews {
  readonly incarnation: string;
  /** Requests a second; null where none is named any more. */
  readonly perSecond: number | null;
  readonly before: number | undefined;
  readonly reason: string;
  readonly details: NonNullable<SystemEvent['details']>;
}

/** One line for each limit that is named or ends; figures may change with each answer, so they share one line a second. */
export class RateLimitEventLog {
  private readonly changes: ThrottledEventLog;

  private constructor(
    private readonly events: EventRing,
    clock: Clock,
  ) {
    this.changes = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates lines that write into `events`.
   *
   * @example
   * const lines = LimitLines.create(events, clock);
   */
  static create(events: EventRing, clock: Clock): RateLimitEventLog {
    return new RateLimitEventLog(events, clock);
  }

  record(news: LimitNews): void {
    const {incarnation, perSecond, before, reason, details} = news;
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
      this.changes.record(event.type, event);
    } else {
      this.events.record(event);
    }
  }
}
