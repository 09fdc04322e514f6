/** What backend servers say of themselves in their answers, beside the answer. */
import {ThrottledEventLog} from '../common/throttled_event_log';
import {AnswerHead} from './answer_head';
import {BackendDepartures} from './backend_departures';
import {BackendLimits} from './backend_limits';
import {BackendRests} from './backend_rests';

/** A head of an answer, and where it came from. */
interface HeardHead {
  readonly incarnation: string;
  readonly head: Pick<
    AnswerHead,
    'limitPerSecond' | 'restMs' | 'isLeaving' | 'isSealed' | 'unread'
  >;
  /** When the request was sent, on the gateway's clock. */
  readonly sentAt: number;
}

type BackendSignalsOptions = Parameters<typeof BackendLimits.create>[0] &
  Parameters<typeof BackendRests.create>[0] &
  Parameters<typeof BackendDepartures.create>[0];

/** Names in one reason of a refusal. */
const MAX_NAMED = 3;

/** One for all requests of a gateway. */
export class BackendSignals {
  readonly limits: BackendLimits;
  private readonly rests: BackendRests;
  private readonly departures: BackendDepartures;
  private readonly lines: ThrottledEventLog;

  private constructor(options: BackendSignalsOptions) {
    this.limits = BackendLimits.create(options);
    this.rests = BackendRests.create(options);
    this.departures = BackendDepartures.create(options);
    this.lines = ThrottledEventLog.create(options.events, options.clock);
  }

  /**
   * Creates signals of backend servers that said nothing yet.
   *
   * @example
   * const signals = BackendSignals.create({clock, leaseClock, events, random, askPermit, reportLeaving, onNews});
   */
  static create(options: BackendSignalsOptions): BackendSignals {
    return new BackendSignals(options);
  }

  /** Takes the head of an answer that is the backend server's own. */
  recordHead({incarnation, head, sentAt}: HeardHead): void {
    const {limitPerSecond, restMs, isLeaving, unread} = head;
    if (unread !== undefined) {
      this.recordUnread(incarnation, unread);
    }
    // What a backend server does not vouch for may lack more than its limit.
    if (limitPerSecond !== undefined || head.isSealed) {
      this.limits.record(incarnation, limitPerSecond, sentAt);
    }
    if (restMs) {
      this.rests.record(incarnation, restMs);
    }
    if (isLeaving) {
      this.departures.record(incarnation);
    }
  }

  /** What those who choose among backend servers have to know. */
  readonly openness = {
    isOpen: (incarnation: string) =>
      !this.departures.has(incarnation) &&
      this.limits.isOpen(incarnation) &&
      this.rests.isOpen(incarnation),
    isLimited: (incarnation: string) => this.limits.isLimited(incarnation),
  };

  /** False for a backend server to which even what waits for a connection must not go. */
  isWelcome(incarnation: string): boolean {
    const {rests, departures} = this;
    return !rests.isResting(incarnation) && !departures.has(incarnation);
  }

  /**
   * Notes a request that is sent there.
   *
   * @returns to be told once whether the backend server took it
   */
  begin(incarnation: string): ((isTaken: boolean) => void) | undefined {
    return this.rests.begin(incarnation);
  }

  /**
   * When a caller that is refused now finds a place that backend servers keep back
   * by their own word; it counts as told so.
   *
   * @returns milliseconds, Infinity where they keep nothing back; and whether there is no other place
   */
  takeOpening(incarnations: readonly string[]) {
    const rests = incarnations.flatMap(
      incarnation => this.rests.findOpeningMs(incarnation) ?? [],
    );
    const limitedMs = this.limits.takeReturnMs(incarnations);
    return {
      inMs: Math.min(limitedMs, ...rests),
      isOnlyWay:
        incarnations.length > 0 &&
        incarnations.every(
          incarnation =>
            this.departures.has(incarnation) ||
            this.limits.isLimited(incarnation) ||
            !this.rests.isOpen(incarnation),
        ),
    };
  }

  /** Forgets what is said of backend servers that control no longer tells. */
  expire(isKnown: (incarnation: string) => boolean): void {
    this.limits.expire(isKnown);
    this.rests.expire(isKnown);
  }

  /** Tells control nothing any more. */
  close(): void {
    this.departures.close();
  }

  /** Why none of these takes a request; undefined where none said anything. */
  explainClosed(incarnations: readonly string[]): string | undefined {
    const limited = incarnations.filter(incarnation =>
      this.limits.isLimited(incarnation),
    );
    const resting = incarnations.filter(
      incarnation => !this.rests.isOpen(incarnation),
    );
    const leaving = incarnations.filter(incarnation =>
      this.departures.has(incarnation),
    );
    const reasons = [
      ...formatReason(leaving, 'since it leaves'),
      ...formatReason(limited, 'by the limit that it names'),
      ...formatReason(resting, 'since it asked for rest'),
    ];
    return reasons.length === 0 ? undefined : reasons.join(', ');
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

function formatReason(names: readonly string[], why: string): string[] {
  const more = names.length - MAX_NAMED;
  const named = names.slice(0, MAX_NAMED).join(' ');
  const all = more > 0 ? `${named} and ${more} more` : named;
  return names.length === 0 ? [] : [`nothing more to ${all} ${why}`];
}
