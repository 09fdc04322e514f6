/** What backend servers say of themselves in their answers, beside the answer. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ThrottledLines} from '../common/throttled_lines';
import {NamedLimits} from '../coordination/limits/named_limits';
import {AnswerHead} from './answer_head';

/** A head of an answer, and where it came from. */
interface HeardHead {
  readonly incarnation: string;
  readonly head: Pick<AnswerHead, 'limitPerSecond' | 'unread'>;
  /** When the request was sent, on the gateway's clock. */
  readonly sentAt: number;
}

/** What the signals work with. */
interface BackendSignalsOptions {
  readonly clock: Clock;
  readonly events: EventRing;
}

/** One for all requests of a gateway. */
export class BackendSignals {
  private readonly limits = NamedLimits.create();
  private readonly lines: ThrottledLines;

  private constructor(private readonly options: BackendSignalsOptions) {
    this.lines = ThrottledLines.create(options.events, options.clock);
  }

  /**
   * Creates signals of backend servers that said nothing yet.
   *
   * @example
   * const signals = BackendSignals.create({clock, events});
   */
  static create(options: BackendSignalsOptions): BackendSignals {
    return new BackendSignals(options);
  }

  /** Takes the head of an answer that is the backend server's own. */
  recordHead({incarnation, head, sentAt}: HeardHead): void {
    const now = this.options.clock.now();
    const {limitPerSecond, unread} = head;
    if (unread !== undefined) {
      this.recordUnread(incarnation, unread);
    }
    const before = this.limits.find(incarnation);
    if (limitPerSecond !== undefined) {
      if (this.limits.add(incarnation, limitPerSecond, now)) {
        this.recordLimit(incarnation, limitPerSecond, before?.perSecond);
      }
    } else if (before && this.limits.end(incarnation, sentAt)) {
      this.recordLimitEnd(incarnation, before.perSecond, now - before.namedAt);
    }
  }

  private recordLimit(
    incarnation: string,
    perSecond: number,
    before: number | undefined,
  ): void {
    this.options.events.record({
      type: before === undefined ? 'limit-named' : 'limit-changed',
      subject: 'host',
      id: incarnation,
      reason: 'an answer names the requests a second that it takes in all',
      details: {perSecond, ...(before === undefined ? {} : {before})},
    });
  }

  private recordLimitEnd(
    incarnation: string,
    before: number,
    ageMs: number,
  ): void {
    this.options.events.record({
      type: 'limit-ended',
      subject: 'host',
      id: incarnation,
      reason: 'an answer names no limit any more',
      details: {before, ageMs: Math.round(ageMs)},
    });
  }

  private recordUnread(incarnation: string, unread: string): void {
    this.lines.record('answer-header-ignored', {
      type: 'answer-header-ignored',
      subject: 'host',
      id: incarnation,
      reason: `not a number that it can mean: ${unread}`,
    });
  }
}
