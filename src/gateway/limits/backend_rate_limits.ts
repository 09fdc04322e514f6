/**
 * The rate limits that backend servers announced, the backend servers that are
 * cold, and the permits to send to them that the control plane grants.
 */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {RateLimitEventLog} from '../../common/rate_limit_event_log';
import {AdvertisedLimits} from '../../coordination/limits/advertised_limits';
import {PermitRequestPacer} from '../../coordination/limits/permit_request_pacer';
import {permitTiming} from '../../coordination/limits/permit_timing';
import {ColdServerReport} from '../../protocol/cold_server_report';
import {GatewayTarget} from '../../protocol/gateway_target';
import {RateLimitReport} from '../../protocol/rate_limit_report';
import {PermitVerdict} from '../../protocol/permit_verdict';
import {ColdServers} from './cold_servers';
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

/** Why a request to a backend server needs a permit; at least one is set. */
interface PermitRequest {
  /** The limit that it announced. */
  readonly limit?: RateLimitReport;
  /** How long it stays cold. */
  readonly cold?: ColdServerReport;
}

/** Dependencies of the rate limits. */
interface BackendRateLimitsOptions {
  readonly clock: Clock;
  /**
   * Used for the expiry of permits, as it includes time for which this machine
   * was suspended.
   */
  readonly leaseClock: Clock;
  readonly events: EventRing;
  readonly askPermit: (request: PermitRequest) => Promise<PermitVerdict>;
  /** Called when the control plane should be notified of a limit at once. */
  readonly reportNow: () => void;
}

/** Shared by all requests of a gateway. */
export class BackendRateLimits {
  private readonly limits = AdvertisedLimits.create();
  private readonly cold: ColdServers;
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
    this.cold = ColdServers.create(options);
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

  /** Records how long a backend server stays cold, as its response says. */
  recordCold(incarnation: string, coldForMs: number, sentAt: number): void {
    if (this.cold.recordAnswer(incarnation, coldForMs, sentAt)) {
      this.options.reportNow();
    }
  }

  /** Records which targets are cold, as the leader with this version of the limits says. */
  recordTargets(targets: readonly GatewayTarget[], limitsTag = ''): void {
    this.cold.recordTargets(targets, getLeader(limitsTag));
  }

  /** True if each request to the backend server needs a permit. */
  isLimited(incarnation: string): boolean {
    return (
      this.limits.find(incarnation) !== undefined || this.isCold(incarnation)
    );
  }

  isCold(incarnation: string): boolean {
    return this.cold.isCold(incarnation);
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
    const isAnnounced = this.limits.find(incarnation) !== undefined;
    const [limit] = isAnnounced
      ? this.limits.describe([incarnation], clock.now())
      : [];
    const cold = this.cold.describe(incarnation);
    if (!limit && !cold) {
      return this.createUnlimitedPermit(incarnation);
    }
    const pacer = this.findPacer(incarnation);
    const askedAt = leaseClock.now();
    pacer.startRequest();
    const request = {...(limit && {limit}), ...(cold && {cold})};
    const verdict = await askPermit(request).catch(() => undefined);
    pacer.finishRequest(verdict, clock.now());
    if (!verdict) {
      this.pausedUntil = clock.now() + NO_LEADER_RETRY_MS;
    }
    if (verdict?.kind === 'free') {
      const at = clock.now();
      const reason = 'the control plane lists no limit any more';
      this.apply({incarnation, perSecond: null, at, reason});
      if (cold) {
        this.cold.end(incarnation, 'control grants requests without permits');
      }
      return this.createUnlimitedPermit(incarnation);
    }
    const {useWithinMs} = permitTiming[cold ? 'cold' : 'announced'];
    const hasExpired = () => leaseClock.now() - askedAt >= useWithinMs;
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
  describeChanges(): {
    limitsTag: string;
    limits: RateLimitReport[];
    cold?: ColdServerReport[];
  } {
    const cold = this.cold.listUnreported(getLeader(this.tag));
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
      // Left out where no server is cold, so that polls do not grow there.
      ...(cold.length > 0 ? {cold} : {}),
    };
  }

  /**
   * Applies the leader's answer.
   *
   * @param sent the limits that were sent to it
   * @param sentCold the cold servers that were sent to it
   */
  applyChanges(
    sent: readonly RateLimitReport[],
    tag: string,
    received: readonly RateLimitReport[],
    sentCold: readonly ColdServerReport[] = [],
  ): void {
    const now = this.options.clock.now();
    this.tag = tag;
    this.cold.recordReported(sentCold, getLeader(tag));
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
    this.cold.expire();
    const limited = new Set(this.limits.list());
    for (const table of [this.pacers, this.reported]) {
      for (const incarnation of table.keys()) {
        if (!limited.has(incarnation) && !this.isCold(incarnation)) {
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
    if (!this.isLimited(incarnation)) {
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

  /** A permit without an end, which a limit that is learned meanwhile ends. */
  private createUnlimitedPermit(incarnation: string): SendPermit {
    return {hasExpired: () => this.isLimited(incarnation)};
  }

  private findPacer(incarnation: string): PermitRequestPacer {
    const pacer = this.pacers.get(incarnation) ?? PermitRequestPacer.create();
    this.pacers.set(incarnation, pacer);
    return pacer;
  }
}

/** The tag consists of the leader's name and term and a change counter. */
function getLeader(tag: string): string {
  return tag.slice(0, Math.max(0, tag.lastIndexOf('/')));
}

function formatReported(
  tag: string,
  {perSecond}: Pick<RateLimitReport, 'perSecond'>,
): string {
  return `${getLeader(tag)} ${perSecond}`;
}
