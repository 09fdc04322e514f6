/**
 * What backend servers signal about themselves in response headers: rate
 * limits, being cold, backoffs and shutdowns.
 */
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {ResponseHead} from '../response_head';
import {BackendShutdowns} from './backend_shutdowns';
import {BackendRateLimits} from './backend_rate_limits';
import {BackendBackoffs} from './backend_backoffs';

/** A response head and its origin. */
interface ReceivedHead {
  readonly incarnation: string;
  readonly head: Pick<
    ResponseHead,
    | 'limitPerSecond'
    | 'coldForMs'
    | 'restMs'
    | 'isLeaving'
    | 'isSealed'
    | 'unread'
  >;
  /** When the request was sent, on the gateway's clock. */
  readonly sentAt: number;
  /** True if cold backend servers of its pool get a limited number of requests. */
  readonly isColdLimited?: boolean;
}

type BackendSignalsOptions = Parameters<typeof BackendRateLimits.create>[0] &
  Parameters<typeof BackendBackoffs.create>[0] &
  Parameters<typeof BackendShutdowns.create>[0];

/** Backend servers named in the reason of a refusal. */
const MAX_NAMED = 3;

/** Shared by all requests of a gateway. */
export class BackendSignals {
  readonly limits: BackendRateLimits;
  private readonly backoffs: BackendBackoffs;
  private readonly shutdowns: BackendShutdowns;
  private readonly eventLog: ThrottledEventLog;

  private constructor(options: BackendSignalsOptions) {
    this.limits = BackendRateLimits.create(options);
    this.backoffs = BackendBackoffs.create(options);
    this.shutdowns = BackendShutdowns.create(options);
    this.eventLog = ThrottledEventLog.create(options.events, options.clock);
  }

  /**
   * Creates signals with no entries.
   *
   * @example
   * const signals = BackendSignals.create({clock, leaseClock, events, random, askPermit, reportLeaving, reportNow});
   */
  static create(options: BackendSignalsOptions): BackendSignals {
    return new BackendSignals(options);
  }

  /** Records the head of a response that came from the backend server itself. */
  recordHead({incarnation, head, sentAt, isColdLimited}: ReceivedHead): void {
    const {limitPerSecond, coldForMs, restMs, isLeaving, unread} = head;
    if (unread !== undefined) {
      this.recordInvalidHeader(incarnation, unread);
    }
    // An unsealed response may lack other headers as well as the limit.
    if (limitPerSecond !== undefined || head.isSealed) {
      this.limits.record(incarnation, limitPerSecond, sentAt);
    }
    if (isColdLimited && coldForMs !== undefined) {
      this.limits.recordCold(incarnation, coldForMs, sentAt);
    }
    if (restMs) {
      this.backoffs.record(incarnation, restMs);
    }
    if (isLeaving) {
      this.shutdowns.record(incarnation);
    }
  }

  /** Tells the load balancer which backend servers accept requests. */
  readonly availability = {
    isAvailable: (incarnation: string) =>
      !this.shutdowns.has(incarnation) &&
      this.limits.isAvailable(incarnation) &&
      this.backoffs.isAvailable(incarnation),
    isLimited: (incarnation: string) => this.limits.isLimited(incarnation),
  };

  /**
   * False if a backend server must not even get requests that already wait for
   * a connection to it.
   */
  canSendTo(incarnation: string): boolean {
    const {backoffs, shutdowns} = this;
    return !backoffs.isBackingOff(incarnation) && !shutdowns.has(incarnation);
  }

  /**
   * Records a request that is sent to the backend server.
   *
   * @returns a function to call once with whether the backend server accepted
   * the request
   */
  beginRequest(
    incarnation: string,
  ): ((isAccepted: boolean) => void) | undefined {
    return this.backoffs.beginRequest(incarnation);
  }

  /**
   * Finds when a caller that is refused now can send to one of these backend
   * servers that are rate limited or back off, and reserves that time for it.
   *
   * @returns milliseconds, Infinity if none is limited or backs off; and
   * whether no other backend server is left
   */
  reserveRetry(incarnations: readonly string[]) {
    const backoffMs = incarnations.flatMap(
      incarnation => this.backoffs.findAvailableInMs(incarnation) ?? [],
    );
    const limitedMs = this.limits.reserveRetryMs(incarnations);
    return {
      inMs: Math.min(limitedMs, ...backoffMs),
      isOnlyOption:
        incarnations.length > 0 &&
        incarnations.every(
          incarnation =>
            this.shutdowns.has(incarnation) ||
            this.limits.isLimited(incarnation) ||
            !this.backoffs.isAvailable(incarnation),
        ),
    };
  }

  /** Removes entries of backend servers that the control plane no longer lists. */
  expire(isKnown: (incarnation: string) => boolean): void {
    this.limits.expire(isKnown);
    this.backoffs.expire(isKnown);
  }

  /** Stops reporting to the control plane. */
  close(): void {
    this.shutdowns.close();
  }

  /**
   * Explains why none of these accepts a request; undefined if none signalled
   * anything.
   */
  explainUnavailable(incarnations: readonly string[]): string | undefined {
    const cold = incarnations.filter(incarnation =>
      this.limits.isCold(incarnation),
    );
    const limited = incarnations.filter(
      incarnation =>
        this.limits.isLimited(incarnation) && !this.limits.isCold(incarnation),
    );
    const backingOff = incarnations.filter(
      incarnation => !this.backoffs.isAvailable(incarnation),
    );
    const leaving = incarnations.filter(incarnation =>
      this.shutdowns.has(incarnation),
    );
    const reasons = [
      ...formatReason(leaving, 'since it leaves'),
      ...formatReason(cold, 'by the rate for cold servers'),
      ...formatReason(limited, 'by the limit that it names'),
      ...formatReason(backingOff, 'since it asked for rest'),
    ];
    return reasons.length === 0 ? undefined : reasons.join(', ');
  }

  private recordInvalidHeader(incarnation: string, unread: string): void {
    this.eventLog.record('answer-header-ignored', {
      type: 'answer-header-ignored',
      subject: 'host',
      id: incarnation,
      reason: `invalid value in a response header: ${unread}`,
    });
  }
}

function formatReason(names: readonly string[], why: string): string[] {
  const more = names.length - MAX_NAMED;
  const named = names.slice(0, MAX_NAMED).join(' ');
  const all = more > 0 ? `${named} and ${more} more` : named;
  return names.length === 0 ? [] : [`nothing more to ${all} ${why}`];
}
