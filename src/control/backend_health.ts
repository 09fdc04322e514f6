/** Detects failed backend servers from missing registrations, gateways' reports and liveness probes. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ServerAddress} from '../common/server_address';
import {EngineGroup} from '../protocol/engine_group';
import {BackendRegistry} from './backend_registry';
import {ControlSettings} from './control_settings';
import {GatewayService} from './gateway_service';

/** Missed registration intervals after which the leader probes a backend server. */
const MISSED_INTERVALS = 2;
/** Consecutive failed probes that count as a loss. */
const FAILED_PROBES = 2;
/** The same if a gateway reports the group as stalled, which is independent evidence. */
const FAILED_PROBES_STALLED = 1;
/** Response bytes from a head prove for this long that all members of its group are alive. */
const ACTIVITY_VALID_MS = 2_000;
/**
 * The same if a gateway reports the head as stalled: one report interval of the other
 * gateways, within which they hear from the head if only the path to that one is broken.
 */
const ACTIVITY_VALID_STALLED_MS = 300;
/** Interval between probes of one backend server. */
const PROBE_INTERVAL_MS = 150;
/**
 * The same once it answered or counts as lost: only a change matters then, and each
 * probe opens a new connection.
 */
const SETTLED_PROBE_INTERVAL_MS = 1_000;

/** A backend server that is suspected to have failed. */
interface ProbeState {
  failures: number;
  /** The head of its group; undefined while neither it nor its group is suspected. */
  head: string | undefined;
  /** A gateway reports its group as stalled. */
  isStalled: boolean;
  isProbing: boolean;
  /** It answered the last probe. */
  hasAnswered: boolean;
  probedAt: number;
  /** Kept until it answers a probe or registers. */
  isLost: boolean;
}

/** Dependencies of the detector. */
interface BackendHealthOptions {
  readonly poolSettings: NonNullable<ControlSettings['pools']>;
  readonly clock: Clock;
  readonly registry: BackendRegistry;
  readonly events: EventRing;
  readonly gateways: Pick<
    GatewayService,
    'isReportedStalled' | 'findLastActivityAt'
  >;
}

/** Suspects silent or stalled backend servers, and probes them until they fail or recover. */
export class BackendHealth {
  private readonly probeStates = new Map<string, ProbeState>();

  private constructor(private readonly options: BackendHealthOptions) {}

  /**
   * Creates a detector that suspects no backend server.
   *
   * @example
   * const health = BackendHealth.create({poolSettings, clock, registry, events, gateways});
   */
  static create(options: BackendHealthOptions): BackendHealth {
    return new BackendHealth(options);
  }

  /** Drops all state, since another process led meanwhile. */
  clear(): void {
    this.probeStates.clear();
  }

  /** Decides which members of groups are suspected to have failed, and sends the probes that are due. */
  refresh(groups: readonly EngineGroup[], now: number): void {
    const {gateways, registry, poolSettings} = this.options;
    this.recordLosses();
    const suspected = new Map<
      string,
      {address: string; head: string; isStalled: boolean}
    >();
    for (const {members} of groups) {
      const head = members[0].incarnation;
      const isStalled = gateways.isReportedStalled(head);
      for (const {incarnation, address} of members) {
        const seenAt = registry.find(incarnation)?.seenAt ?? -Infinity;
        const isSilent =
          now - seenAt > poolSettings.heartbeatMs * MISSED_INTERVALS;
        if (isStalled || (isSilent && !this.isGroupActive({head, isStalled}))) {
          suspected.set(incarnation, {address, head, isStalled});
        }
      }
    }
    this.removeRecovered(suspected);
    for (const [incarnation, state] of this.probeStates) {
      state.head = suspected.get(incarnation)?.head;
      state.isStalled = suspected.get(incarnation)?.isStalled ?? false;
    }
    suspected.forEach(({address, head, isStalled}, incarnation) => {
      const state =
        this.probeStates.get(incarnation) ?? this.startProbing(incarnation);
      state.head = head;
      state.isStalled = isStalled;
      this.probe(incarnation, state, address, now);
    });
  }

  /** Makes new losses permanent before the groups they were found in change. */
  private recordLosses(): void {
    for (const [incarnation, state] of this.probeStates) {
      const isNewLoss = !state.isLost && this.hasFailedProbes(state);
      // Reports about its group end with the group, but the backend server is still dead.
      state.isLost ||= isNewLoss;
      if (isNewLoss) {
        this.recordEvent('backend-lost', incarnation, 'it failed its probes');
      }
    }
  }

  /** A suspicion ends when the backend server registers again, not when its group ends. */
  private removeRecovered(suspected: ReadonlyMap<string, unknown>): void {
    for (const [incarnation, {probedAt}] of this.probeStates) {
      const view = this.options.registry.find(incarnation);
      const hasRegistered = view !== undefined && view.seenAt > probedAt;
      if (!suspected.has(incarnation) && hasRegistered) {
        this.probeStates.delete(incarnation);
        this.recordEvent('backend-trusted', incarnation, 'it registered again');
      }
    }
  }

  /** True if it failed its probes while its group sent nothing to any gateway. */
  isLost(incarnation: string): boolean {
    const state = this.probeStates.get(incarnation);
    return state !== undefined && (state.isLost || this.hasFailedProbes(state));
  }

  private hasFailedProbes(state: ProbeState): boolean {
    const needed = state.isStalled ? FAILED_PROBES_STALLED : FAILED_PROBES;
    return state.failures >= needed && !this.isGroupActive(state);
  }

  /** A head that lost a member sends nothing, so output of the head proves that all are alive. */
  private isGroupActive({
    head,
    isStalled,
  }: Pick<ProbeState, 'head' | 'isStalled'>): boolean {
    const {gateways, clock} = this.options;
    const withinMs = isStalled ? ACTIVITY_VALID_STALLED_MS : ACTIVITY_VALID_MS;
    return (
      head !== undefined &&
      clock.now() - gateways.findLastActivityAt(head) < withinMs
    );
  }

  private startProbing(incarnation: string): ProbeState {
    this.recordEvent(
      'backend-doubted',
      incarnation,
      'it missed registrations, or a gateway reports its group as stalled',
    );
    const state = {
      failures: 0,
      head: undefined,
      isStalled: false,
      isProbing: false,
      hasAnswered: false,
      probedAt: -Infinity,
      isLost: false,
    };
    this.probeStates.set(incarnation, state);
    return state;
  }

  private probe(
    incarnation: string,
    state: ProbeState,
    address: string,
    now: number,
  ): void {
    const isSettled = state.hasAnswered || this.isLost(incarnation);
    const intervalMs = isSettled
      ? SETTLED_PROBE_INTERVAL_MS
      : PROBE_INTERVAL_MS;
    const isDue = now - state.probedAt >= intervalMs;
    if (state.isProbing || !isDue) {
      return;
    }
    state.isProbing = true;
    state.probedAt = now;
    void this.askEngine(address, incarnation).then(
      isAnswering => {
        state.isProbing = false;
        state.hasAnswered = isAnswering;
        state.isLost &&= !isAnswering;
        state.failures = isAnswering ? 0 : state.failures + 1;
      },
      () => {
        state.isProbing = false;
        state.failures += 1;
      },
    );
  }

  /** An engine with a malformed address, from the log of another version, counts as unreachable. */
  private askEngine(text: string, incarnation: string): Promise<boolean> {
    const {orders} = this.options.poolSettings;
    if (!orders) {
      return Promise.resolve(true);
    }
    const address = ServerAddress.find(text);
    return address
      ? orders.probe(address, incarnation)
      : Promise.resolve(false);
  }

  private recordEvent(type: string, id: string, reason: string): void {
    const {events, registry, clock, gateways} = this.options;
    const seenAt = registry.find(id)?.seenAt;
    const silentMs = seenAt === undefined ? -1 : clock.now() - seenAt;
    const head = this.probeStates.get(id)?.head;
    const headHeardAt =
      head === undefined ? -Infinity : gateways.findLastActivityAt(head);
    const details = {
      silentMs: Math.round(silentMs),
      headHeardMsAgo: Number.isFinite(headHeardAt)
        ? Math.round(clock.now() - headHeardAt)
        : -1,
    };
    events.record({type, subject: 'host', id, reason, details});
  }
}
