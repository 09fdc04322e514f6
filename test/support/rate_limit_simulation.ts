/**
 * Simulates many gateways in front of one backend server that advertises a rate limit
 * or is cold, and the leader that issues their permits. The rate limit code of the gateways and the
 * leader is the real one; the network and the backend server are simulated.
 */
import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {parseTargets} from '../../src/gateway/control/parse_targets';
import {BackendRateLimits} from '../../src/gateway/limits/backend_rate_limits';
import {VirtualTime} from '../simulation/virtual_time';
import {countMaxPerWindow} from './count_max_per_window';
import {createLimitLeader} from './create_limit_leader';

export const BACKEND = 'b1@1';
/** Interval between two exchanges of a gateway with control. */
const REPORT_INTERVAL_MS = 250;
const WINDOW_MS = 4_000;
const REGISTRATION_INTERVAL_MS = 1_000;
const ZONE = 'z1';

type AskPermit = Parameters<typeof BackendRateLimits.create>[0]['askPermit'];

/** Sizes and load of a simulation. */
interface RateLimitSimulationOptions {
  readonly gateways: number;
  /** The limit that the backend server advertises at a time, in requests per second; undefined for none. */
  readonly limitAt: (at: number) => number | undefined;
  /** Requests per second that one gateway would send without a limit, at a time. */
  readonly demandAt: (at: number, gateway: number) => number;
  /** Set if the backend server may be cold. */
  readonly cold?: {
    /** Requests per second that it accepts while it is cold. */
    readonly perSecond: number;
    readonly startMs?: number;
    /** Milliseconds for which it stays cold, at a time; 0 while it is warm. */
    readonly forMsAt: (at: number) => number;
    /** False if it does not say so in its answers, or registrations. */
    readonly isInAnswers?: boolean;
    readonly isInRegistrations?: boolean;
    /** Number of its first registration, which tells its age. */
    readonly sequence?: number;
  };
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** One request that reached the backend server. */
interface ReceivedRequest {
  readonly at: number;
  readonly gateway: number;
  /** The gateway knew of the limit when it sent the request. */
  readonly isLimitKnown: boolean;
}

class SimulatedGateway {
  limits: BackendRateLimits;
  /** The gateway's machine is frozen or suspended until then. */
  pausedUntil = -Infinity;
  isPartitioned = false;
  /** Total time of suspensions, which the monotonic clock does not count. */
  suspendedMs = 0;
  readonly monotonicClock: Clock;
  tableTag = '';
  hasServed = false;
  /** True once a leader has listed the backend server. */
  hasTarget = false;

  constructor(
    readonly index: number,
    private readonly simulation: RateLimitSimulation,
  ) {
    this.monotonicClock = {now: () => simulation.time.now() - this.suspendedMs};
    this.limits = this.start();
  }

  start(): BackendRateLimits {
    const {simulation, monotonicClock} = this;
    this.tableTag = '';
    this.hasServed = false;
    this.hasTarget = false;
    this.limits = BackendRateLimits.create({
      clock: monotonicClock,
      leaseClock: simulation.time,
      events: EventRing.create(),
      askPermit: request => simulation.askPermit(this, request),
      reportNow: () => simulation.exchange(this),
    });
    return this.limits;
  }
}

/** Runs one simulation. */
export class RateLimitSimulation {
  readonly time = VirtualTime.create();
  readonly gateways: SimulatedGateway[];
  readonly receivedRequests: ReceivedRequest[] = [];
  /** When the first response that advertised the limit arrived. */
  firstAdvertisedAt: number | undefined;
  permitRequestCount = 0;
  private leader: ReturnType<typeof createLimitLeader> | undefined;
  private registrations = 0;
  private term = 0;

  private constructor(private readonly options: RateLimitSimulationOptions) {
    this.gateways = Array.from(
      {length: options.gateways},
      (_, index) => new SimulatedGateway(index, this),
    );
  }

  static create(options: RateLimitSimulationOptions): RateLimitSimulation {
    const simulation = new RateLimitSimulation(options);
    // The leader has been in office long enough for all permits of earlier leaders to have expired.
    simulation.startLeader(-60_000);
    simulation.repeatRegistration();
    simulation.gateways.forEach(gateway => {
      simulation.time.after(options.random() * REPORT_INTERVAL_MS, () =>
        simulation.repeatExchange(gateway),
      );
      simulation.scheduleArrival(gateway);
    });
    return simulation;
  }

  async run(untilMs: number): Promise<void> {
    await this.time.runUntil(untilMs, () => false);
  }

  /** Removes the leader; another one takes over after this time. */
  changeLeader(withoutMs: number): void {
    this.leader = undefined;
    this.time.after(withoutMs, () => this.startLeader(this.time.now()));
  }

  /** Restarts a gateway, which loses all its state. */
  restart(gateway: number): void {
    this.gateways[gateway].start();
  }

  /** Pauses a gateway's machine; the monotonic clock does not count the time if it is suspended. */
  pause(gateway: number, ms: number, isSuspended: boolean): void {
    const paused = this.gateways[gateway];
    paused.pausedUntil = this.time.now() + ms;
    paused.suspendedMs += isSuspended ? ms : 0;
  }

  /** Counts the gateways that know of the limit now. */
  countInformed(): number {
    return this.gateways.filter(({limits}) => limits.isLimited(BACKEND)).length;
  }

  /** Counts the requests of informed gateways in the fullest window of those that arrived since a time. */
  countMaxPerWindow(from = 0, windowMs = WINDOW_MS): number {
    return countMaxPerWindow(this.listInformedRequestTimes(from), windowMs);
  }

  /** Counts the requests that the backend server got while it was cold, in the fullest second of those since a time. */
  countMaxWhileCold(from = 0): number {
    const times = this.receivedRequests
      .map(({at}) => at)
      .filter(at => at >= from && (this.options.cold?.forMsAt(at) ?? 0) > 0);
    return countMaxPerWindow(times, 1_000);
  }

  /** Lets requests be sent again to the zone of the backend server. */
  restoreZone(): void {
    this.leader?.cold.recordZoneRestored(ZONE, this.time.now());
  }

  /** Counts the requests of informed gateways that arrived between two times. */
  countInformedRequests(from: number, to: number): number {
    return this.listInformedRequestTimes(from).filter(at => at < to).length;
  }

  private listInformedRequestTimes(from: number): number[] {
    const sent = this.receivedRequests.filter(
      ({at, isLimitKnown}) => isLimitKnown && at >= from,
    );
    return sent.map(({at}) => at).sort((left, right) => left - right);
  }

  /** Runs an action at a gateway after a delay, and not before a pause of its machine ends. */
  runWhenAwake(gateway: SimulatedGateway, inMs: number, act: () => void): void {
    this.time.after(inMs, () => {
      const away = gateway.pausedUntil - this.time.now();
      return away > 0 ? this.runWhenAwake(gateway, away, act) : act();
    });
  }

  askPermit(
    gateway: SimulatedGateway,
    request: Parameters<AskPermit>[0],
  ): ReturnType<AskPermit> {
    this.permitRequestCount += 1;
    const {limits} = gateway;
    return new Promise((resolve, reject) => {
      this.runWhenAwake(gateway, 100, () => reject(new Error('no leader')));
      this.time.after(this.drawDelay(), () => {
        const ask = {type: 'permit-ask' as const, call: 0, ...request};
        const answer =
          gateway.isPartitioned || gateway.limits !== limits
            ? undefined
            : this.leader?.limits.handlers['permit-ask']({
                ...ask,
                gatewayId: `g${gateway.index}`,
              });
        if (answer?.type === 'permit-answer') {
          const {verdict} = answer;
          this.runWhenAwake(gateway, this.drawDelay(), () => resolve(verdict));
        }
      });
    });
  }

  /** Reports a gateway's limits to the leader and applies the changes in its answer. */
  exchange(gateway: SimulatedGateway): void {
    const {limits, tableTag, hasServed} = gateway;
    const {limitsTag, limits: reports, cold = []} = limits.describeChanges();
    this.time.after(this.drawDelay(), () => {
      const {leader} = this;
      if (!leader || gateway.isPartitioned) {
        return;
      }
      const gatewayId = `g${gateway.index}`;
      leader.limits.recordReports(gatewayId, reports);
      leader.cold.recordReport({gatewayId, hasServed, cold});
      const tag = leader.limits.readTag();
      const news =
        tag === limitsTag ? [] : leader.limits.listChangesSince(limitsTag);
      const now = this.time.now();
      const newTableTag = leader.targets.readTag(now);
      const update =
        newTableTag === tableTag
          ? undefined
          : leader.targets.listChangesSince(tableTag, now);
      this.runWhenAwake(gateway, this.drawDelay(), () => {
        if (gateway.limits !== limits) {
          return;
        }
        if (update && (update.isWholeTable || gateway.tableTag === tableTag)) {
          gateway.tableTag = newTableTag;
          gateway.hasTarget ||= update.targets.length > 0;
          limits.recordTargets(parseTargets(update.targets).targets, tag);
        }
        limits.applyChanges(reports, tag, news, cold);
      });
    });
  }

  private repeatExchange(gateway: SimulatedGateway): void {
    this.exchange(gateway);
    this.runWhenAwake(gateway, REPORT_INTERVAL_MS, () =>
      this.repeatExchange(gateway),
    );
  }

  private startLeader(leadingSince: number): void {
    this.term += 1;
    const {term} = this;
    this.leader = createLimitLeader({
      term,
      leadingSince,
      pool: {
        name: 'p',
        maxConnections: 1,
        coldRequestsPerSecond: this.options.cold?.perSecond,
        coldStartMs: this.options.cold?.startMs,
      },
      clock: this.time,
      notify: () =>
        this.gateways.forEach(gateway => this.notify(gateway, term)),
    });
  }

  /** Registers the backend server with the leader, if there is one, again and again. */
  private repeatRegistration(): void {
    const {cold} = this.options;
    if (!cold) {
      return;
    }
    const {sequence = 1_000, isInRegistrations = true} = cold;
    const now = this.time.now();
    const coldForMs = isInRegistrations ? cold.forMsAt(now) : undefined;
    const registration = {
      incarnation: BACKEND,
      pool: 'p',
      address: '10.0.0.1:80',
      zone: ZONE,
      isLeaving: false,
      sequence: sequence + this.registrations,
      slots: 1,
      stagedModels: [],
      coldForMs,
    };
    this.registrations += 1;
    this.time.after(this.drawDelay(), () => {
      this.leader?.registry.record(registration, this.time.now());
      this.leader?.cold.recordRegistration(registration);
    });
    this.time.after(REGISTRATION_INTERVAL_MS, () => this.repeatRegistration());
  }

  /** Exchanges again after a change, as control answers a held long poll then. */
  private notify(gateway: SimulatedGateway, term: number): void {
    this.time.after(5, () => {
      if (this.term === term) {
        this.runWhenAwake(gateway, 0, () => this.exchange(gateway));
      }
    });
  }

  /** Schedules the requests that arrive at a gateway. */
  private scheduleArrival(gateway: SimulatedGateway): void {
    const {random, demandAt} = this.options;
    const perSecond = demandAt(this.time.now(), gateway.index);
    if (perSecond === 0) {
      this.runWhenAwake(gateway, 100, () => this.scheduleArrival(gateway));
      return;
    }
    const inMs = (-Math.log(1 - random()) / perSecond) * 1_000;
    this.runWhenAwake(gateway, Math.min(inMs, 1_000), () => {
      if (inMs <= 1_000) {
        void this.sendIfPermitted(gateway);
      }
      this.scheduleArrival(gateway);
    });
  }

  private async sendIfPermitted(gateway: SimulatedGateway): Promise<void> {
    const {limits} = gateway;
    const hasTarget = !this.options.cold || gateway.hasTarget;
    if (!hasTarget || !limits.isAvailable(BACKEND)) {
      return;
    }
    const isLimitKnown = limits.isLimited(BACKEND);
    const permit = isLimitKnown && (await limits.acquirePermit(BACKEND));
    const maySend = !isLimitKnown || permit;
    if (maySend && gateway.limits === limits) {
      this.send(gateway, isLimitKnown);
    }
  }

  private send(gateway: SimulatedGateway, isLimitKnown: boolean): void {
    const {limits} = gateway;
    const sentAt = gateway.monotonicClock.now();
    gateway.hasServed = true;
    this.time.after(this.drawDelay(), () => {
      const at = this.time.now();
      this.receivedRequests.push({
        at,
        gateway: gateway.index,
        isLimitKnown,
      });
      const answerMs = 20 + this.options.random() * 200;
      this.time.after(answerMs, () => {
        const limit = this.options.limitAt(this.time.now());
        const {cold} = this.options;
        const coldForMs = cold?.forMsAt(this.time.now());
        this.runWhenAwake(gateway, this.drawDelay(), () => {
          if (limit !== undefined) {
            this.firstAdvertisedAt ??= this.time.now();
          }
          if (gateway.limits === limits) {
            limits.record(BACKEND, limit, sentAt);
            if (
              coldForMs !== undefined &&
              cold?.isInAnswers !== false &&
              cold?.perSecond
            ) {
              limits.recordCold(BACKEND, coldForMs, sentAt);
            }
          }
        });
      });
    });
  }

  private drawDelay(): number {
    return 0.5 + this.options.random() * 4;
  }
}
