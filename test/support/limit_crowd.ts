/**
 * Many gateways in front of one backend server that names a limit, and the leader
 * whose permits they need. Gateways and leader are the real ones; links and the
 * backend server are virtual.
 */
import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {LimitDesk} from '../../src/control/limit_desk';
import {BackendLimits} from '../../src/gateway/backend_limits';
import {RateLimitReport} from '../../src/protocol/rate_limit_report';
import {VirtualTime} from '../simulation/virtual_time';

export const BACKEND = 'b1@1';
/** Between two exchanges of a gateway with control. */
const TELL_EVERY_MS = 250;
const WINDOW_MS = 4_000;

/** Sizes and load of a crowd. */
interface LimitCrowdOptions {
  readonly gateways: number;
  /** Requests a second that the backend server names at a moment; undefined for none. */
  readonly limitAt: (at: number) => number | undefined;
  /** Requests a second that would go there from one gateway at a moment. */
  readonly demandAt: (at: number, gateway: number) => number;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** One request that reached the backend server. */
interface Reached {
  readonly at: number;
  readonly gateway: number;
  /** Its gateway had heard of the limit. */
  readonly isByPermit: boolean;
}

class CrowdGateway {
  limits: BackendLimits;
  /** Frozen or suspended until then. */
  awayUntil = -Infinity;
  isCutOff = false;
  /** Time that its steady clock did not count. */
  uncountedMs = 0;
  readonly steady: Clock;

  constructor(
    readonly index: number,
    private readonly crowd: LimitCrowd,
  ) {
    this.steady = {now: () => crowd.time.now() - this.uncountedMs};
    this.limits = this.start();
  }

  start(): BackendLimits {
    const {crowd, steady} = this;
    this.limits = BackendLimits.create({
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
export class LimitCrowd {
  readonly time = VirtualTime.create();
  readonly gateways: CrowdGateway[];
  readonly reached: Reached[] = [];
  /** When the first answer named the limit. */
  firstNamedAt: number | undefined;
  asks = 0;
  private desk: LimitDesk | undefined;
  private term = 0;

  private constructor(private readonly options: LimitCrowdOptions) {
    this.gateways = Array.from(
      {length: options.gateways},
      (_, index) => new CrowdGateway(index, this),
    );
  }

  static create(options: LimitCrowdOptions): LimitCrowd {
    const crowd = new LimitCrowd(options);
    // It has led for long enough that no other leader's permits are in use.
    crowd.elect(-60_000);
    crowd.gateways.forEach(gateway => {
      crowd.time.after(options.random() * TELL_EVERY_MS, () =>
        crowd.exchangeForever(gateway),
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
    this.desk = undefined;
    this.time.after(withoutMs, () => this.elect(this.time.now()));
  }

  /** A process of a gateway ends, and another begins without knowing anything. */
  restart(gateway: number): void {
    this.gateways[gateway].start();
  }

  /** A machine stands still; its steady clock may not count that. */
  pause(gateway: number, ms: number, isSuspended: boolean): void {
    const paused = this.gateways[gateway];
    paused.awayUntil = this.time.now() + ms;
    paused.uncountedMs += isSuspended ? ms : 0;
  }

  /** Gateways that know the limit now. */
  countKnowing(): number {
    return this.gateways.filter(({limits}) => limits.isLimited(BACKEND)).length;
  }

  /** The most requests of gateways that had heard, over any window that ends after a moment. */
  countMost(from = 0): number {
    const times = this.listSent(from);
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
  countSent(from: number, to: number): number {
    return this.listSent(from).filter(at => at < to).length;
  }

  private listSent(from: number): number[] {
    const sent = this.reached.filter(
      ({at, isByPermit}) => isByPermit && at >= from,
    );
    return sent.map(({at}) => at).sort((left, right) => left - right);
  }

  /** Lets something happen at a gateway, as soon as it runs. */
  actAt(gateway: CrowdGateway, inMs: number, act: () => void): void {
    this.time.after(inMs, () => {
      const away = gateway.awayUntil - this.time.now();
      return away > 0 ? this.actAt(gateway, away, act) : act();
    });
  }

  askPermit(
    gateway: CrowdGateway,
    limit: RateLimitReport,
  ): ReturnType<Parameters<typeof BackendLimits.create>[0]['askPermit']> {
    this.asks += 1;
    const {limits} = gateway;
    return new Promise((resolve, reject) => {
      this.actAt(gateway, 100, () => reject(new Error('no leader')));
      this.time.after(this.drawDelay(), () => {
        const ask = {type: 'permit-ask' as const, call: 0, limit};
        const answer =
          gateway.isCutOff || gateway.limits !== limits
            ? undefined
            : this.desk?.handlers['permit-ask']({
                ...ask,
                gatewayId: `g${gateway.index}`,
              });
        if (answer?.type === 'permit-answer') {
          const {verdict} = answer;
          this.actAt(gateway, this.drawDelay(), () => resolve(verdict));
        }
      });
    });
  }

  /** One question about news, and its answer. */
  exchange(gateway: CrowdGateway): void {
    const {limits} = gateway;
    const {limitsTag, limits: words} = limits.describeNews();
    this.time.after(this.drawDelay(), () => {
      const {desk} = this;
      if (!desk || gateway.isCutOff) {
        return;
      }
      desk.recordWords(`g${gateway.index}`, words);
      const tag = desk.readTag();
      const news = tag === limitsTag ? [] : desk.describeSince(limitsTag);
      this.actAt(gateway, this.drawDelay(), () => {
        if (gateway.limits === limits) {
          limits.applyNews(words, tag, news);
        }
      });
    });
  }

  private exchangeForever(gateway: CrowdGateway): void {
    this.exchange(gateway);
    this.actAt(gateway, TELL_EVERY_MS, () => this.exchangeForever(gateway));
  }

  private elect(leadingSince: number): void {
    this.term += 1;
    const {term} = this;
    this.desk = LimitDesk.create({
      runtime: {raft: {term}, leadingSince},
      registry: {find: () => undefined},
      clock: this.time,
      events: EventRing.create(),
      leaderName: `c${term}`,
      announce: () =>
        this.gateways.forEach(gateway => this.wake(gateway, term)),
    });
  }

  /** A question that control holds is answered as soon as there is news. */
  private wake(gateway: CrowdGateway, term: number): void {
    this.time.after(5, () => {
      if (this.term === term) {
        this.actAt(gateway, 0, () => this.exchange(gateway));
      }
    });
  }

  /** Requests that this gateway would send there, one after the other. */
  private arrive(gateway: CrowdGateway): void {
    const {random, demandAt} = this.options;
    const perSecond = demandAt(this.time.now(), gateway.index);
    if (perSecond === 0) {
      this.actAt(gateway, 100, () => this.arrive(gateway));
      return;
    }
    const inMs = (-Math.log(1 - random()) / perSecond) * 1_000;
    this.actAt(gateway, Math.min(inMs, 1_000), () => {
      if (inMs <= 1_000) {
        void this.place(gateway);
      }
      this.arrive(gateway);
    });
  }

  private async place(gateway: CrowdGateway): Promise<void> {
    const {limits} = gateway;
    if (!limits.isOpen(BACKEND)) {
      return;
    }
    const isByPermit = limits.isLimited(BACKEND);
    const permit = isByPermit && (await limits.askPermit(BACKEND));
    const maySend = !isByPermit || permit;
    if (maySend && gateway.limits === limits) {
      this.send(gateway, isByPermit);
    }
  }

  private send(gateway: CrowdGateway, isByPermit: boolean): void {
    const {limits} = gateway;
    const sentAt = gateway.steady.now();
    this.time.after(this.drawDelay(), () => {
      const at = this.time.now();
      this.reached.push({at, gateway: gateway.index, isByPermit});
      const answerMs = 20 + this.options.random() * 200;
      this.time.after(answerMs, () => {
        const limit = this.options.limitAt(this.time.now());
        this.actAt(gateway, this.drawDelay(), () => {
          if (limit !== undefined) {
            this.firstNamedAt ??= this.time.now();
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
