/**
 * The rate limits that backend servers announced, and the permits to send to
 * them that the control plane grants.
 */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {RateLimitEventLog} from '../../common/rate_limit_event_log';
import {AdvertisedLimits} from '../../coordination/limits/advertised_limits';
import {PermitRequestPacer} from '../../coordination/limits/permit_request_pacer';
import {permitTiming} from '../../coordination/limits/permit_timing';
import {RateLimitReport} from '../../protocol/rate_limit_report';
import {PermitVerdict} from '../../protocol/permit_verdict';
import {SendPermit} from './send_permit';

/**
 * Limits reported in one message to the control plane; the rest follows in the
 * next one.
 */
const MAX_REPORTED_LIMITS = 64;

/**
 * Delay between permit requests while no leader answers, in milliseconds, as
 * each of them makes a request wait.
 */
const NO_LEADER_RETRY_MS = 200;

/** Dependencies of the rate limits. */
interface BackendRateLimitsOptions {
  readonly clock: Clock;
  /**
   * Used for the expiry of permits, as it includes time for which this machine
   * was suspended.
   */
  readonly leaseClock: Clock;
  readonly events: EventRing;
  readonly askPermit: (limit: RateLimitReport) => Promise<PermitVerdict>;
  /** Called when the control plane should be notified of a limit at once. */
  readonly reportNow: () => void;
}

/** The permit for a backend server without a rate limit. */
const UNLIMITED_PERMIT: SendPermit = {hasExpired: () => false};

/** Shared by all requests of a gateway. */
export class BackendRateLimits {
  private readonly limits = AdvertisedLimits.create();
  private readonly pacers = new Map<string, PermitRequestPacer>();
  /**
   * The last limit of each backend server that was exchanged with a leader,
   * with that leader's name.
   */
  private readonly reported = new Map<string, string>();
  private tag = '';
  /** No permit is requested before this time, since no leader answered. */
  private pausedUntil = -Infinity;

  private readonly eventLog: RateLimitEventLog;

  private constructor(private readonly options: BackendRateLimitsOptions) {
    this.eventLog = RateLimitEventLog.create(options.events, options.clock);
  }

  /**
   * Creates a table without limits.
   *
   * @example
   * const limits = BackendRateLimits.create({clock, leaseClock, events, askPermit, reportNow});
   */
  static create(options: BackendRateLimitsOptions): BackendRateLimits {
    return new BackendRateLimits(options);
  }

  /** Records the rate limit in a response; undefined if the response has none. */
  record(
    incarnation: string,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    const {clock, reportNow} = this.options;
    const wasLimited = this.isLimited(incarnation);
    this.apply({
      incarnation,
      perSecond: perSecond ?? null,
      at: perSecond === undefined ? sentAt : clock.now(),
      reason: 'announced in a response',
    });
    // A changed limit concerns only the leader, which gets it with the next
    // permit request.
    if (wasLimited !== this.isLimited(incarnation)) {
      reportNow();
    }
  }

  /** True if each request to the backend server needs a permit. */
  isLimited(incarnation: string): boolean {
    return this.limits.find(incarnation) !== undefined;
  }

  /** False if a permit can't be obtained now. */
  isAvailable(incarnation: string): boolean {
    const now = this.options.clock.now();
    const canAsk = this.pacers.get(incarnation)?.canRequest(now) ?? true;
    return !this.isLimited(incarnation) || (canAsk && now >= this.pausedUntil);
  }

  /** Requests a permit to send one request at once; undefined if it is denied. */
  async acquirePermit(incarnation: string): Promise<SendPermit | undefined> {
    const {clock, leaseClock, askPermit} = this.options;
    const [limit] = this.limits.describe([incarnation], clock.now());
    if (!limit || limit.perSecond === null) {
      return UNLIMITED_PERMIT;
    }
    const pacer = this.findPacer(incarnation);
    const askedAt = leaseClock.now();
    pacer.startRequest();
    const verdict = await askPermit(limit).catch(() => undefined);
    pacer.finishRequest(verdict, clock.now());
    if (!verdict) {
      this.pausedUntil = clock.now() + NO_LEADER_RETRY_MS;
    }
    if (verdict?.kind === 'free') {
      const at = clock.now();
      const reason = 'the control plane lists no limit any more';
      this.apply({incarnation, perSecond: null, at, reason});
      return UNLIMITED_PERMIT;
    }
    const hasExpired = () =>
      leaseClock.now() - askedAt >= permitTiming.useWithinMs;
    const isUsable = verdict?.kind === 'granted' && !hasExpired();
    return isUsable ? {hasExpired} : undefined;
  }

  /**
   * Finds when a caller that is refused now can send to one of these backend
   * servers, and reserves that time for it.
   *
   * @returns milliseconds; Infinity if none of them has a rate limit
   */
  reserveRetryMs(incarnations: readonly string[]): number {
    const now = this.options.clock.now();
    const pacers = incarnations
      .filter(incarnation => this.isLimited(incarnation))
      .map(incarnation => this.findPacer(incarnation));
    const times = pacers.map(pacer => pacer.computeRetryAfterMs(now));
    const inMs = Math.max(0, Math.min(Infinity, ...times));
    pacers[times.indexOf(Math.min(...times))]?.recordRetryAfter(inMs, now);
    return inMs;
  }

  /**
   * Describes what the control plane should know: the version of the table held
   * here, and the limits that were not reported to its leader.
   */
  describeChanges(): {limitsTag: string; limits: RateLimitReport[]} {
    const limited = this.limits.list();
    const unreported = this.limits
      .describe(limited, this.options.clock.now())
      .filter(
        change =>
          this.reported.get(change.incarnation) !==
          formatReported(this.tag, change),
      );
    return {
      limitsTag: this.tag,
      limits: unreported.slice(0, MAX_REPORTED_LIMITS),
    };
  }

  /**
   * Applies the leader's answer.
   *
   * @param sent the limits that were sent to it
   */
  applyChanges(
    sent: readonly RateLimitReport[],
    tag: string,
    received: readonly RateLimitReport[],
  ): void {
    const now = this.options.clock.now();
    this.tag = tag;
    sent.forEach(change =>
      this.reported.set(change.incarnation, formatReported(tag, change)),
    );
    for (const change of received) {
      const {incarnation, perSecond, msAgo} = change;
      const reason = 'reported by another gateway';
      this.apply({incarnation, perSecond, at: now - msAgo, reason});
      this.reported.set(incarnation, formatReported(tag, change));
    }
  }

  /**
   * Removes expired entries and limits of backend servers that the control
   * plane no longer lists.
   */
  expire(isKnown: (incarnation: string) => boolean): void {
    this.limits.expire(this.options.clock.now(), isKnown);
    const limited = new Set(this.limits.list());
    for (const table of [this.pacers, this.reported]) {
      for (const incarnation of table.keys()) {
        if (!limited.has(incarnation)) {
          table.delete(incarnation);
        }
      }
    }
  }

  private apply(change: {
    readonly incarnation: string;
    readonly perSecond: number | null;
    readonly at: number;
    readonly reason: string;
  }): void {
    const {incarnation, perSecond, at, reason} = change;
    const before = this.limits.find(incarnation);
    const isChanged =
      perSecond === null
        ? this.limits.recordNoLimit(incarnation, at)
        : this.limits.recordLimit(incarnation, perSecond, at);
    if (!isChanged) {
      return;
    }
    this.reported.delete(incarnation);
    if (perSecond === null) {
      this.pacers.delete(incarnation);
    }
    const announcedAt = perSecond === null ? (before?.advertisedAt ?? at) : at;
    this.eventLog.record({
      incarnation,
      perSecond,
      before: before?.perSecond,
      reason,
      details: {ageMs: Math.round(this.options.clock.now() - announcedAt)},
    });
  }

  private findPacer(incarnation: string): PermitRequestPacer {
    const pacer = this.pacers.get(incarnation) ?? PermitRequestPacer.create();
    this.pacers.set(incarnation, pacer);
    return pacer;
  }
}

/**
 * The tag consists of the leader's name and a change counter; only the name
 * counts here.
 */
function formatReported(
  tag: string,
  {perSecond}: Pick<RateLimitReport, 'perSecond'>,
): string {
  return `${tag.slice(0, tag.lastIndexOf('/'))} ${perSecond}`;
}
