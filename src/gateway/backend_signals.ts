/** What backend servers say of themselves in their answers, beside the answer. */
import {ThrottledLines} from '../common/throttled_lines';
import {AnswerHead} from './answer_head';
import {BackendDepartures} from './backend_departures';
import {BackendLimits} from './backend_limits';
import {BackendRests} from './backend_rests';

/** A head of an answer, and where it came from. */
interface HeardHead {
  readonly incarnation: string;
  readonly head: Pick<
    AnswerHead,
    'limitPerSecond' | 'restMs' | 'isLeaving' | 'unread'
  >;
  /** When the request was sent, on the gateway's clock. */
  readonly sentAt: number;
}

type BackendSignalsOptions = Parameters<typeof BackendLimits.create>[0];

/** Names in one reason of a refusal. */
const MAX_NAMED = 3;

/** One for all requests of a gateway. */
export class BackendSignals {
  readonly limits: BackendLimits;
  private readonly rests: BackendRests;
  private readonly departures: BackendDepartures;
  private readonly lines: ThrottledLines;

  private constructor(options: BackendSignalsOptions) {
    this.limits = BackendLimits.create(options);
    this.rests = BackendRests.create(options);
    this.departures = BackendDepartures.create(options);
    this.lines = ThrottledLines.create(options.events, options.clock);
  }

  /**
   * Creates signals of backend servers that said nothing yet.
   *
   * @example
   * const signals = BackendSignals.create({clock, leaseClock, events, askPermit, onNews});
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
    this.limits.record(incarnation, limitPerSecond, sentAt);
    if (restMs) {
      this.rests.record(incarnation, restMs);
    }
    if (isLeaving) {
      this.departures.record(incarnation);
    }
  }

  /** What those who choose among backend servers have to know. */
  readonly openness = {
    isOpen: (incarnation: string) => this.limits.isOpen(incarnation),
    isLimited: (incarnation: string) => this.limits.isLimited(incarnation),
  };

  /** Why none of these takes a request; undefined where none said anything. */
  explainClosed(incarnations: readonly string[]): string | undefined {
    const limited = incarnations.filter(incarnation =>
      this.limits.isLimited(incarnation),
    );
    return limited.length === 0
      ? undefined
      : `${formatNames(limited)} take no more by the limits that they name`;
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

function formatNames(names: readonly string[]): string {
  const more = names.length - MAX_NAMED;
  const named = names.slice(0, MAX_NAMED).join(' ');
  return more > 0 ? `${named} and ${more} more` : named;
}
