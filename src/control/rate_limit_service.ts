/** Keeps the rate limits that backend servers announce, and issues gateways permits within them and for cold servers, on the leader. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {RateLimitEventLog} from '../common/rate_limit_event_log';
import {AdvertisedLimits} from '../coordination/limits/advertised_limits';
import {PermitIssuer} from '../coordination/limits/permit_issuer';
import {ControlMessage} from '../protocol/control_message';
import {RateLimitReport} from '../protocol/rate_limit_report';
import {MessageOf} from '../protocol/message_of';
import {BackendRegistry} from './backend_registry';
import {ColdServerService} from './cold_server_service';
import {RaftRuntime} from './raft_runtime';

/** Changes that are kept; a gateway that missed more gets the full table. */
const MAX_CHANGES = 1_024;
/** Interval between removals of expired limits. */
const EXPIRY_INTERVAL_MS = 1_000;

type Call<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** Dependencies of the service. */
interface RateLimitServiceOptions {
  readonly runtime: {
    readonly raft: Pick<RaftRuntime['raft'], 'term'>;
    readonly leadingSince: number;
  };
  readonly registry: Pick<BackendRegistry, 'find'>;
  readonly cold: Pick<ColdServerService, 'findRate' | 'recordWord'>;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly leaderName: string;
  /** Ends the long polls of gateways, so that they get the newest state. */
  readonly notify: () => void;
}

/** The limits aren't replicated: gateways report the ones that they know to a new leader. */
export class RateLimitService {
  private readonly limits = AdvertisedLimits.create();
  private readonly issuers = new Map<string, PermitIssuer>();
  /** Issuers of the servers that are cold, or were so recently. */
  private readonly coldIssuers = new Map<string, PermitIssuer>();
  /** Backend servers whose limit changed, oldest first. */
  private changes: string[] = [];
  /** Number of all changes so far, including those no longer kept. */
  private changeCount = 0;
  private term = -1;
  private expiredAt = -Infinity;

  private readonly eventLog: RateLimitEventLog;

  private constructor(private readonly options: RateLimitServiceOptions) {
    this.eventLog = RateLimitEventLog.create(options.events, options.clock);
  }

  /**
   * Creates a service without any limits.
   *
   * @example
   * const service = RateLimitService.create({runtime, registry, cold, clock, events, leaderName, notify});
   */
  static create(options: RateLimitServiceOptions): RateLimitService {
    return new RateLimitService(options);
  }

  /** Identifies the current version of the table, as an entity tag does; a gateway that has this version needs no update. */
  readTag(): string {
    this.refresh();
    return `${this.options.leaderName}/${this.term}/${this.changeCount}`;
  }

  /** The changes since the version with this tag, or the full table if they aren't known. */
  listChangesSince(tag: string): RateLimitReport[] {
    const now = this.options.clock.now();
    const prefix = this.readTag().slice(0, -String(this.changeCount).length);
    const missed = this.changeCount - Number(tag.slice(prefix.length));
    const isSameLeadership = tag.startsWith(prefix);
    if (!isSameLeadership || !(missed >= 0 && missed <= this.changes.length)) {
      return this.limits.describe(this.limits.list(), now);
    }
    const changed = missed === 0 ? [] : this.changes.slice(-missed);
    return this.limits.describe([...new Set(changed)], now);
  }

  /** Records the limits that a gateway learned from responses, or from the previous leader. */
  recordReports(gatewayId: string, reports: readonly RateLimitReport[]): void {
    this.refresh();
    reports.forEach(report => this.recordReport(gatewayId, report));
  }

  readonly handlers = {
    'permit-ask': (request: Call<'permit-ask'>): ControlMessage => {
      const {call, gatewayId, limit, cold} = request;
      this.recordReports(gatewayId, limit ? [limit] : []);
      if (cold) {
        this.options.cold.recordWord(gatewayId, cold);
      }
      const incarnation = (limit ?? cold)?.incarnation ?? '';
      const now = this.options.clock.now();
      const issuers = this.listIssuers(incarnation, now);
      if (issuers.length === 0) {
        return {type: 'permit-answer', call, verdict: UNLIMITED_VERDICT};
      }
      // A gateway that does not know yet that the server is cold would use a
      // permit for longer than that of a cold server is valid.
      const knowsState = cold !== undefined || !this.isCold(incarnation);
      const isAllowed =
        knowsState && issuers.every(issuer => issuer.canIssue(now));
      const decisions = issuers.map(issuer =>
        issuer.acquire(gatewayId, now, isAllowed),
      );
      const verdict = {
        kind: isAllowed ? ('granted' as const) : ('later' as const),
        pauseMs: Math.max(...decisions.map(({pauseMs}) => pauseMs)),
        intervalMs: Math.max(...decisions.map(({intervalMs}) => intervalMs)),
      };
      return {type: 'permit-answer', call, verdict};
    },
  };

  /** Lists the issuers of all limits that apply to a server now. */
  private listIssuers(incarnation: string, now: number): PermitIssuer[] {
    const announced = this.limits.find(incarnation);
    const coldRate = this.options.cold.findRate(incarnation);
    return [
      ...(announced
        ? [this.getIssuer(incarnation, announced.perSecond, now)]
        : []),
      ...(coldRate === undefined
        ? []
        : [this.getColdIssuer(incarnation, coldRate, now)]),
    ];
  }

  private isCold(incarnation: string): boolean {
    return this.options.cold.findRate(incarnation) !== undefined;
  }

  private recordReport(gatewayId: string, report: RateLimitReport): void {
    const {clock, notify} = this.options;
    const {incarnation, perSecond, msAgo} = report;
    const at = clock.now() - msAgo;
    const before = this.limits.find(incarnation)?.perSecond;
    const isNewer =
      perSecond === null
        ? this.limits.recordNoLimit(incarnation, at)
        : this.limits.recordLimit(incarnation, perSecond, at);
    if (!isNewer) {
      return;
    }
    if (perSecond !== null) {
      const now = clock.now();
      this.getIssuer(incarnation, perSecond, now).setLimit(perSecond, now);
    }
    // Gateways don't need the value of the limit, only whether there is one.
    if (perSecond === null || before === undefined) {
      this.changes = [...this.changes, incarnation].slice(-MAX_CHANGES);
      this.changeCount += 1;
      notify();
    }
    this.eventLog.record({
      incarnation,
      perSecond,
      before,
      reason:
        perSecond === null
          ? 'a gateway received a response without a limit'
          : 'a gateway received a response with this limit',
      details: {gatewayId, ageMs: Math.round(msAgo)},
    });
  }

  private getIssuer(
    incarnation: string,
    perSecond: number,
    now: number,
  ): PermitIssuer {
    const known = this.issuers.get(incarnation);
    if (known) {
      return known;
    }
    const {leadingSince} = this.options.runtime;
    const kind = 'announced';
    const issuer = PermitIssuer.create({kind, perSecond, now, leadingSince});
    this.issuers.set(incarnation, issuer);
    return issuer;
  }

  private getColdIssuer(
    incarnation: string,
    perSecond: number,
    now: number,
  ): PermitIssuer {
    const known = this.coldIssuers.get(incarnation);
    if (known) {
      // The configuration may have changed.
      known.setLimit(perSecond, now);
      return known;
    }
    const {leadingSince} = this.options.runtime;
    const kind = 'cold';
    const issuer = PermitIssuer.create({kind, perSecond, now, leadingSince});
    this.coldIssuers.set(incarnation, issuer);
    return issuer;
  }

  /** Resets the state in a new term, as another process may have led meanwhile, and removes expired limits. */
  private refresh(): void {
    const {runtime, registry, clock} = this.options;
    const now = clock.now();
    if (runtime.raft.term !== this.term) {
      this.term = runtime.raft.term;
      this.limits.clear();
      this.issuers.clear();
      this.coldIssuers.clear();
      this.changes = [];
    }
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) {
      return;
    }
    this.expiredAt = now;
    const isRegistered = (incarnation: string) =>
      registry.find(incarnation) !== undefined;
    this.limits.expire(now, isRegistered);
    const known = new Set(this.limits.list());
    for (const incarnation of this.issuers.keys()) {
      if (!known.has(incarnation)) {
        this.issuers.delete(incarnation);
      }
    }
    for (const [incarnation, issuer] of this.coldIssuers) {
      if (!this.isCold(incarnation) && issuer.isIdle(now)) {
        this.coldIssuers.delete(incarnation);
      }
    }
  }
}

const UNLIMITED_VERDICT = {kind: 'free', pauseMs: 0, intervalMs: 0} as const;
