/**
 * Many gateways in front of one backend server that names a limit, and the leader
 * whose permits they need. Gateways and leader are the real ones; links and the
 * backend server are virtual.
 */
import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {RateLimitService} from '../../src/control/rate_limit_service';
import {BackendRateLimits} from '../../src/gateway/backend_rate_limits';
import {LimitWord} from '../../src/protocol/limit_word';
import {VirtualTime} from '../simulation/virtual_time';

export const BACKEND = 'b1@1';
/** Between two exchanges of a gateway with control. */
const TELL_EVERY_MS = 250;
const WINDOW_MS = 4_000;

/** Sizes and load of a crowd. */
interface RateLimitSimulationOptions {
  readonly gateways: number;
  /** Requests a second that the backend server names at a moment; undefined for none. */
  readonly limitAt: (at: number) => number | undefined;
  /** Requests a second that would go there from one gateway at a moment. */
  readonly demandAt: (at: number, gateway: number) => number;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** One request that reached the backend server. */
interface ReceivedRequest {
  readonly at: number;
  readonly gateway: number;
  /** Its gateway had heard of the limit. */
  readonly isLimitKnown: boolean;
}

class SimulatedGateway {
  limits: BackendRateLimits;
  /** Frozen or suspended until then. */
  pausedUntil = -Infinity;
  isPartitioned = false;
  /** Time that its steady clock did not count. */
  suspendedMs = 0;
  readonly steady: Clock;

  constructor(
    readonly index: number,
    private readonly simulation: RateLimitSimulation,
  ) {
    this.steady = {now: () => simulation.time.now() - this.suspendedMs};
    this.limits = this.start();
  }

  start(): BackendRateLimits {
    const {simulation: crowd, steady} = this;
    this.limits = BackendRateLimits.create({
      clock: steady,
      leaseClock: crowd.time,
      events: EventRing.create(),
      askPermit: limit => crowd.askPermit(this, limit),
      onNews: () => crowd.exchange(this),
    });
    return this.limits;
  }
}

/** A crowd at work. */
export class RateLimitSimulation {
  readonly time = VirtualTime.create();
  readonly gateways: SimulatedGateway[];
  readonly receivedRequests: ReceivedRequest[] = [];
  /** When the first answer named the limit. */
  firstAdvertisedAt: number | undefined;
  permitRequestCount = 0;
  private limitService: RateLimitService | undefined;
  private term = 0;

  private constructor(private readonly options: RateLimitSimulationOptions) {
    this.gateways = Array.from(
      {length: options.gateways},
      (_, index) => new SimulatedGateway(index, this),
    );
  }

  static create(options: RateLimitSimulationOptions): RateLimitSimulation {
    const crowd = new RateLimitSimulation(options);
    // It has led for long enough that no other leader's permits are in use.
    crowd.elect(-60_000);
    crowd.gateways.forEach(gateway => {
      crowd.time.after(options.random() * TELL_EVERY_MS, () =>
        crowd.repeatExchange(gateway),
      );
      crowd.arrive(gateway);
    });
    return crowd;
  }

  async run(untilMs: number): Promise<void> {
    await this.time.runUntil(untilMs, () => false);
  }

  /** Nobody leads for a while, and then another process does. */
  changeLeader(withoutMs: number): void {
    this.limitService = undefined;
    this.time.after(withoutMs, () => this.elect(this.time.now()));
  }

  /** A process of a gateway ends, and another begins without knowing anything. */
  restart(gateway: number): void {
    this.gateways[gateway].start();
  }

  /** A machine stands still; its steady clock may not count that. */
  pause(gateway: number, ms: number, isSuspended: boolean): void {
    const paused = this.gateways[gateway];
    paused.pausedUntil = this.time.now() + ms;
    paused.suspendedMs += isSuspended ? ms : 0;
  }

  /** Gateways that know the limit now. */
  countInformed(): number {
    return this.gateways.filter(({limits}) => limits.isLimited(BACKEND)).length;
  }

  /** The most requests of gateways that had heard, over any window that ends after a moment. */
  countMaxPerWindow(from = 0): number {
    const times = this.listInformedRequestTimes(from);
    let most = 0;
    let first = 0;
    times.forEach((at, last) => {
      while (at - times[first] >= WINDOW_MS) {
        first += 1;
      }
      most = Math.max(most, last - first + 1);
    });
    return most;
  }

  /** Requests of gateways that had heard, between two moments. */
  countInformedRequests(from: number, to: number): number {
    return this.listInformedRequestTimes(from).filter(at => at < to).length;
  }

  private listInformedRequestTimes(from: number): number[] {
    const sent = this.receivedRequests.filter(
      ({at, isLimitKnown: isByPermit}) => isByPermit && at >= from,
    );
    return sent.map(({at}) => at).sort((left, right) => left - right);
  }

  /** Lets something happen at a gateway, as soon as it runs. */
  runWhenAwake(gateway: SimulatedGateway, inMs: number, act: () => void): void {
    this.time.after(inMs, () => {
      const away = gateway.pausedUntil - this.time.now();
      return away > 0 ? this.runWhenAwake(gateway, away, act) : act();
    });
  }

  askPermit(
    gateway: SimulatedGateway,
    limit: LimitWord,
  ): ReturnType<Parameters<typeof BackendRateLimits.create>[0]['askPermit']> {
    this.permitRequestCount += 1;
    const {limits} = gateway;
    return new Promise((resolve, reject) => {
      this.runWhenAwake(gateway, 100, () => reject(new Error('no leader')));
      this.time.after(this.drawDelay(), () => {
        const ask = {type: 'permit-ask' as const, call: 0, limit};
        const answer =
          gateway.isPartitioned || gateway.limits !== limits
            ? undefined
            : this.limitService?.handlers['permit-ask']({
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

  /** One question about news, and its answer. */
  exchange(gateway: SimulatedGateway): void {
    const {limits} = gateway;
    const {limitsTag, limits: words} = limits.describeNews();
    this.time.after(this.drawDelay(), () => {
      const {limitService: desk} = this;
      if (!desk || gateway.isPartitioned) {
        return;
      }
      desk.recordReports(`g${gateway.index}`, words);
      const tag = desk.readTag();
      const news = tag === limitsTag ? [] : desk.listChangesSince(limitsTag);
      this.runWhenAwake(gateway, this.drawDelay(), () => {
        if (gateway.limits === limits) {
          limits.applyNews(words, tag, news);
        }
      });
    });
  }

  private repeatExchange(gateway: SimulatedGateway): void {
    this.exchange(gateway);
    this.runWhenAwake(gateway, TELL_EVERY_MS, () =>
      this.repeatExchange(gateway),
    );
  }

  private elect(leadingSince: number): void {
    this.term += 1;
    const {term} = this;
    this.limitService = RateLimitService.create({
      runtime: {raft: {term}, leadingSince},
      registry: {find: () => undefined},
      clock: this.time,
      events: EventRing.create(),
      leaderName: `c${term}`,
      notify: () =>
        this.gateways.forEach(gateway => this.notify(gateway, term)),
    });
  }

  /** A question that control holds is answered as soon as there is news. */
  private notify(gateway: SimulatedGateway, term: number): void {
    this.time.after(5, () => {
      if (this.term === term) {
        this.runWhenAwake(gateway, 0, () => this.exchange(gateway));
      }
    });
  }

  /** Requests that this gateway would send there, one after the other. */
  private arrive(gateway: SimulatedGateway): void {
    const {random, demandAt} = this.options;
    const perSecond = demandAt(this.time.now(), gateway.index);
    if (perSecond === 0) {
      this.runWhenAwake(gateway, 100, () => this.arrive(gateway));
      return;
    }
    const inMs = (-Math.log(1 - random()) / perSecond) * 1_000;
    this.runWhenAwake(gateway, Math.min(inMs, 1_000), () => {
      if (inMs <= 1_000) {
        void this.place(gateway);
      }
      this.arrive(gateway);
    });
  }

  private async place(gateway: SimulatedGateway): Promise<void> {
    const {limits} = gateway;
    if (!limits.isAvailable(BACKEND)) {
      return;
    }
    const isByPermit = limits.isLimited(BACKEND);
    const permit = isByPermit && (await limits.acquirePermit(BACKEND));
    const maySend = !isByPermit || permit;
    if (maySend && gateway.limits === limits) {
      this.send(gateway, isByPermit);
    }
  }

  private send(gateway: SimulatedGateway, isByPermit: boolean): void {
    const {limits} = gateway;
    const sentAt = gateway.steady.now();
    this.time.after(this.drawDelay(), () => {
      const at = this.time.now();
      this.receivedRequests.push({
        at,
        gateway: gateway.index,
        isLimitKnown: isByPermit,
      });
      const answerMs = 20 + this.options.random() * 200;
      this.time.after(answerMs, () => {
        const limit = this.options.limitAt(this.time.now());
        this.runWhenAwake(gateway, this.drawDelay(), () => {
          if (limit !== undefined) {
            this.firstAdvertisedAt ??= this.time.now();
          }
          if (gateway.limits === limits) {
            limits.record(BACKEND, limit, sentAt);
          }
        });
      });
    });
  }

  private drawDelay(): number {
    return 0.5 + this.options.random() * 4;
  }
}
