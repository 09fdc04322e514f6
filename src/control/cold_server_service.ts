/** Keeps until when backend servers are cold, on the leader. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ColdStates} from '../coordination/limits/cold_states';
import {BackendRegistration} from '../protocol/backend_registration';
import {ColdServerReport} from '../protocol/cold_server_report';
import {BackendRegistry} from './backend_registry';
import {RaftRuntime} from './raft_runtime';

/** A registration may have been under way for this long, so a word that a server is warm may be that old. */
const MAX_TRANSIT_MS = 500;
/** After a zone was restored, its servers count as cold for at least this long; a registration ends it earlier. Silent servers are removed after the same time. */
const RESTORED_COLD_MS = 30_000;
/** Gateways have told a new leader within this time which servers are cold. */
const LISTEN_MS = 1_000;
/** Interval between removals of ended states. */
const EXPIRY_INTERVAL_MS = 1_000;
/** Used where the interval of registrations isn't configured. */
const DEFAULT_HEARTBEAT_MS = 1_000;

/** Dependencies of the service. */
interface ColdServerServiceOptions {
  readonly runtime: Pick<RaftRuntime, 'state' | 'raft' | 'leadingSince'>;
  readonly registry: Pick<BackendRegistry, 'find' | 'list'>;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly leaderName: string;
  /** Interval of registrations. */
  readonly heartbeatMs?: number;
  /** Ends the long polls of gateways, so that they get the newest state. */
  readonly notify: () => void;
}

/** A start of a backend server that has not said whether it is cold. */
interface UnreportedStart {
  readonly firstSeenAt: number;
  /** When it stops being cold, if callers' requests had been served before it started. */
  readonly until: number;
}

/** The report of a gateway, as far as it concerns cold servers. */
interface GatewayReport {
  readonly gatewayId: string;
  readonly hasServed: boolean;
  readonly cold?: readonly ColdServerReport[];
}

/** The states aren't replicated: servers repeat theirs in each registration, and gateways report to a new leader what they know. */
export class ColdServerService {
  private readonly states = ColdStates.create();
  private readonly unreported = new Map<string, UnreportedStart>();
  /** Incarnations whose first registration was evaluated. */
  private readonly seen = new Set<string>();
  /** Gateways that have polled this leader. */
  private readonly gateways = new Set<string>();
  /** Since when callers' requests have been served; -Infinity if since before this leader. */
  private servingSince: number | undefined;
  private changes = 0;
  private term = -1;
  private expiredAt = -Infinity;

  private constructor(private readonly options: ColdServerServiceOptions) {}

  /**
   * Creates a service in which every server is warm.
   *
   * @example
   * const cold = ColdServerService.create({runtime, registry, clock, events, leaderName, notify});
   */
  static create(options: ColdServerServiceOptions): ColdServerService {
    return new ColdServerService(options);
  }

  /** Rises with each change that gateways must know. A countdown that ends is none, since they follow it themselves. */
  get version(): number {
    this.refresh();
    return this.changes;
  }

  /** Returns when a server stops being cold, which may be over; -Infinity for one that is warm. */
  findEnd(incarnation: string): number {
    this.refresh();
    return this.states.findEnd(incarnation);
  }

  /** True while gateways may not have told this new leader yet which servers are cold. */
  get isListening(): boolean {
    const {runtime, clock} = this.options;
    return clock.now() - runtime.leadingSince < LISTEN_MS;
  }

  /** True if this new leader may not know that a server is cold. */
  isUncertain({incarnation, pool}: {incarnation: string; pool: string}) {
    this.refresh();
    return (
      this.isListening &&
      this.isLimitedPool(pool) &&
      !this.states.isReported(incarnation)
    );
  }

  /** Requests per second for a server while it is cold; undefined if it is warm or its pool has no limit. */
  findRate(incarnation: string): number | undefined {
    if (this.findEnd(incarnation) <= this.options.clock.now()) {
      return undefined;
    }
    const view = this.options.registry.find(incarnation);
    if (view) {
      return this.findPool(view.registration.pool)?.coldRequestsPerSecond;
    }
    // The pool of a server that this leader has not heard of yet is unknown.
    const rates = this.listRates();
    return rates.length > 0 ? Math.min(...rates) : undefined;
  }

  /** True if a cold server of this pool gets a limited number of requests. */
  isLimitedPool(pool: string): boolean {
    return this.findPool(pool) !== undefined;
  }

  /** Records a registration that the registry accepted. */
  recordRegistration(registration: BackendRegistration): void {
    const {incarnation, pool, coldForMs} = registration;
    const {clock} = this.options;
    this.refresh();
    const limited = this.findPool(pool);
    if (!limited) {
      return;
    }
    const now = clock.now();
    const isFirst = !this.seen.has(incarnation);
    this.seen.add(incarnation);
    if (coldForMs === undefined) {
      if (isFirst) {
        this.recordStart(registration, limited.coldStartMs ?? 0, now);
      }
      return;
    }
    this.unreported.delete(incarnation);
    const change = this.states.record({
      incarnation,
      until: now + coldForMs,
      at: coldForMs > 0 ? now : now - MAX_TRANSIT_MS,
      now,
      isRegistration: true,
    });
    this.handleChange(incarnation, change, 'it says so in its registration', {
      forMs: Math.round(coldForMs),
    });
  }

  /** Records what a gateway learned from answers or from the previous leader. */
  recordReport({gatewayId, hasServed, cold = []}: GatewayReport): void {
    this.refresh();
    const now = this.options.clock.now();
    if (hasServed) {
      const hasPolled = this.gateways.has(gatewayId);
      this.servingSince = hasPolled ? (this.servingSince ?? now) : -Infinity;
      this.applyStarts();
    }
    this.gateways.add(gatewayId);
    cold.forEach(report => this.recordWord(gatewayId, report));
    this.expire(now);
  }

  /** Records one server's state as a gateway knows it. */
  recordWord(gatewayId: string, report: ColdServerReport): void {
    this.refresh();
    const now = this.options.clock.now();
    const {incarnation, coldForMs, msAgo, leader} = report;
    // What this leader told gateways may have ended here, and must not return from them.
    if (leader === `${this.options.leaderName}/${this.term}`) {
      return;
    }
    const change = this.states.record({
      incarnation,
      until: now + coldForMs,
      at: now - msAgo,
      now,
    });
    if (change) {
      this.unreported.delete(incarnation);
    }
    this.handleChange(incarnation, change, 'a gateway reported it', {
      gatewayId,
      ageMs: Math.round(msAgo),
      forMs: Math.round(coldForMs),
    });
  }

  /**
   * Records that requests may be sent to a zone again. Its servers may have turned cold
   * meanwhile, so they count as cold until a registration received after this says otherwise.
   */
  recordZoneRestored(zone: string, now: number): void {
    this.refresh();
    for (const {registration} of this.options.registry.list()) {
      const {incarnation, pool} = registration;
      const limited = this.findPool(pool);
      if (registration.zone !== zone || !limited) {
        continue;
      }
      const forMs = Math.max(RESTORED_COLD_MS, limited.coldStartMs ?? 0);
      const change = this.states.record({
        incarnation,
        until: now + forMs,
        at: now,
        now,
        needsRegistration: true,
      });
      const reason = 'its zone was restored, and it has not registered since';
      this.handleChange(incarnation, change, reason, {zone, forMs});
    }
  }

  /**
   * Considers a start that does not say whether it is cold. Its age is estimated, since a
   * new leader hears of old starts as well: by the number of its registrations and by its
   * clock, which may be wrong, so the shorter of the two counts.
   */
  private recordStart(
    {incarnation, sequence, startedAt}: BackendRegistration,
    coldStartMs: number,
    now: number,
  ): void {
    const {heartbeatMs = DEFAULT_HEARTBEAT_MS} = this.options;
    const byCountMs = Math.max(0, sequence - 1) * heartbeatMs;
    const byClockMs =
      startedAt === undefined ? Infinity : Math.max(0, Date.now() - startedAt);
    const until = now + coldStartMs - Math.min(byCountMs, byClockMs);
    if (until > now && !this.states.isReported(incarnation)) {
      this.unreported.set(incarnation, {firstSeenAt: now, until});
      this.applyStarts();
    }
  }

  /** Counts the starts as cold that came after callers' requests had been served. */
  private applyStarts(): void {
    const {servingSince} = this;
    const now = this.options.clock.now();
    for (const [incarnation, {firstSeenAt, until}] of this.unreported) {
      if (servingSince !== undefined && servingSince <= firstSeenAt) {
        this.unreported.delete(incarnation);
        const at = -Infinity;
        const change = this.states.record({incarnation, until, at, now});
        const reason = 'it has started and does not say whether it is cold';
        this.handleChange(incarnation, change, reason, {
          forMs: Math.round(until - now),
        });
      }
    }
  }

  private handleChange(
    incarnation: string,
    change: ReturnType<ColdStates['record']>,
    reason: string,
    details: Record<string, string | number>,
  ): void {
    if (!change) {
      return;
    }
    this.changes += 1;
    this.options.events.record({
      type: change === 'changed' ? 'backend-cold' : `backend-${change}`,
      subject: 'host',
      id: incarnation,
      reason,
      details,
    });
    this.options.notify();
  }

  /** Returns a pool whose cold servers are limited. */
  private findPool(name: string | undefined) {
    const {rules} = this.options.runtime.state.channel;
    const pool = rules?.pools.find(other => other.name === name);
    return pool?.coldRequestsPerSecond ? pool : undefined;
  }

  private listRates(): number[] {
    const {rules} = this.options.runtime.state.channel;
    return (rules?.pools ?? []).flatMap(
      pool => pool.coldRequestsPerSecond || [],
    );
  }

  /** Resets the state in a new term, as another process may have led meanwhile. */
  private refresh(): void {
    const {term} = this.options.runtime.raft;
    if (term !== this.term) {
      this.term = term;
      this.states.clear();
      this.unreported.clear();
      this.seen.clear();
      this.gateways.clear();
      this.servingSince = undefined;
      this.changes += 1;
    }
  }

  private expire(now: number): void {
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) {
      return;
    }
    for (const incarnation of this.states.expire(now, this.expiredAt)) {
      this.options.events.record({
        type: 'backend-warm',
        subject: 'host',
        id: incarnation,
        reason: 'the time for which it was cold is over',
      });
    }
    this.expiredAt = now;
    for (const incarnation of this.seen) {
      if (!this.options.registry.find(incarnation)) {
        this.seen.delete(incarnation);
        this.unreported.delete(incarnation);
      }
    }
  }
}
