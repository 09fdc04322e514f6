/**
 * Simulates many gateways that balance streams over the same engines, each with its own
 * load balancer and a delayed report of the others' load, on a virtual clock.
 */
import {Clock} from '../../src/common/clock';
import {ServerAddress} from '../../src/common/server_address';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';
import {EngineProfile} from '../../src/protocol/engine_profile';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {BatchingEngine, BatchingProfile} from './batching_engine';

/** Sizes and load of a simulation. */
interface BalancingOptions {
  readonly gateways: number;
  readonly heads: number;
  readonly zones: number;
  /** Streams per second over all gateways. */
  readonly perSecond: number;
  readonly lengthMs: number;
  /** Interval between two load reports of a gateway. */
  readonly tellEveryMs: number;
  readonly profile: BatchingProfile;
  /** A first event after this time, in milliseconds, is late. */
  readonly objectiveMs: number;
  readonly pauseMs: number;
  readonly promptTokens: number;
  readonly events: number;
  /** When further engines start to serve, in milliseconds. */
  readonly engineStartTimes?: readonly number[];
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** What callers experienced, and how the load was spread. */
export interface BalancingResult {
  readonly streams: number;
  /** Fraction of the streams whose first event was late. */
  readonly lateFirstEventFraction: number;
  /** Fraction of the streams whose first event was late or that had a pause that was too long. */
  readonly lateFraction: number;
  /** Standard deviation of the streams per engine over the engines, averaged over time. */
  readonly loadDeviation: number;
  /** Fraction of the streams that ran in the availability zone of their gateway. */
  readonly sameZoneFraction: number;
}

interface ScheduledEvent {
  readonly at: number;
  readonly act: () => void;
}

class VirtualClock implements Clock {
  time = 0;

  now(): number {
    return this.time;
  }
}

/**
 * Runs one simulation.
 *
 * @example
 * const {lateFraction} = runBalancingSimulation({gateways: 36, heads: 13, ...});
 */
export function runBalancingSimulation(
  options: BalancingOptions,
): BalancingResult {
  return new Simulation(options).run();
}

class Simulation {
  private readonly clock = new VirtualClock();
  private readonly schedule: ScheduledEvent[] = [];
  private readonly engines = new Map<string, BatchingEngine>();
  private readonly balancers: LoadBalancer[];
  private readonly reportedLoads: Array<Readonly<Record<string, number>>>;
  private readonly targets = new Map<string, GatewayTarget>();
  private readonly counts = {
    streams: 0,
    lateFirstEvents: 0,
    late: 0,
    near: 0,
    spread: 0,
    samples: 0,
  };

  constructor(private readonly options: BalancingOptions) {
    const {gateways, heads, zones, random} = options;
    this.balancers = Array.from({length: gateways}, (_, at) =>
      LoadBalancer.create(`zone-${at % zones}`, this.clock, random),
    );
    this.reportedLoads = this.balancers.map(() => ({}));
    for (let at = 0; at < heads; at += 1) {
      this.addEngine();
    }
  }

  run(): BalancingResult {
    const {lengthMs, tellEveryMs, engineStartTimes, random} = this.options;
    this.balancers.forEach((_, at) => {
      this.scheduleAt(random() * tellEveryMs, () => this.exchange(at));
      this.scheduleAt(this.drawArrivalGap(), () => this.arrive(at));
    });
    this.scheduleAt(1_000, () => this.recordLoad());
    (engineStartTimes ?? []).forEach(at =>
      this.scheduleAt(at, () => this.addEngine()),
    );
    while (this.clock.time < lengthMs) {
      const batchEnd = this.findNextBatchEnd();
      const next = this.schedule[0];
      if (batchEnd && batchEnd.at <= next.at) {
        this.clock.time = batchEnd.at;
        batchEnd.engine.endBatch();
      } else {
        this.schedule.shift();
        this.clock.time = next.at;
        next.act();
      }
    }
    const {streams, lateFirstEvents, late, near, spread, samples} = this.counts;
    return {
      streams,
      lateFirstEventFraction: lateFirstEvents / streams,
      lateFraction: late / streams,
      sameZoneFraction: near / streams,
      loadDeviation: spread / samples,
    };
  }

  /** The profile of the simulated engines, as the rules describe it to a gateway. */
  private get engineProfile(): EngineProfile {
    const {slots, stepMs, stepMsPerRequest, stepsPerEvent, pace, ...rest} =
      this.options.profile;
    return {
      models: [{name: 'm', size: 1, pace, share: 1, loadMs: 1, warmMs: 1}],
      slots,
      contextTokens: Infinity,
      stepMs,
      stepMsPerRequest,
      promptTokensPerSecond: rest.tokensPerMs * 1_000,
      promptChunkTokens: rest.chunkTokens,
      stepsPerEvent,
      loadsPerSecond: 1,
      concurrentLoads: 1,
      keptModels: 0,
      openMs: 0,
    };
  }

  private addEngine(): void {
    const {zones, profile} = this.options;
    const at = this.targets.size;
    const incarnation = `head-${at}`;
    this.targets.set(incarnation, {
      incarnation,
      pool: 'p',
      address: ServerAddress.parse(`a:${at + 1}`),
      zone: `zone-${at % zones}`,
      slots: profile.slots,
      model: 'm',
      epoch: 1,
    });
    this.engines.set(incarnation, BatchingEngine.create(profile));
    this.balancers.forEach(balancer =>
      balancer.setTargets(new Map(this.targets)),
    );
  }

  private findNextBatchEnd(): {at: number; engine: BatchingEngine} | undefined {
    let best: {at: number; engine: BatchingEngine} | undefined;
    for (const engine of this.engines.values()) {
      const at = engine.batchEndsAt;
      if (at !== undefined && (!best || at < best.at)) {
        best = {at, engine};
      }
    }
    return best;
  }

  private scheduleAt(at: number, act: () => void): void {
    const index = this.schedule.findIndex(other => other.at > at);
    this.schedule.splice(index < 0 ? this.schedule.length : index, 0, {
      at,
      act,
    });
  }

  private drawArrivalGap(): number {
    const {gateways, perSecond, random} = this.options;
    return (-Math.log(1 - random()) * gateways * 1_000) / perSecond;
  }

  /** Draws from a gamma distribution of shape 2: most values are near the mean, some are several times as large. */
  private drawSize(mean: number): number {
    const {random} = this.options;
    const draw = -Math.log(1 - random()) - Math.log(1 - random());
    return Math.max(1, Math.round((mean * draw) / 2));
  }

  private exchange(at: number): void {
    const balancer = this.balancers[at];
    const sums: Record<string, number> = {};
    this.reportedLoads[at] = balancer.describeHealth().running;
    this.reportedLoads.forEach((running, other) => {
      for (const [incarnation, count] of Object.entries(running)) {
        if (other !== at) {
          sums[incarnation] = (sums[incarnation] ?? 0) + count;
        }
      }
    });
    balancer.setRunningElsewhere(sums, this.balancers.length - 1);
    this.scheduleAt(this.clock.time + this.options.tellEveryMs, () =>
      this.exchange(at),
    );
  }

  private recordLoad(): void {
    const loads = [...this.engines.values()].map(engine => engine.load);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const square = loads.reduce((sum, load) => sum + (load - mean) ** 2, 0);
    this.counts.spread += Math.sqrt(square / loads.length);
    this.counts.samples += 1;
    this.scheduleAt(this.clock.time + 50, () => this.recordLoad());
  }

  private arrive(at: number): void {
    this.scheduleAt(this.clock.time + this.drawArrivalGap(), () =>
      this.arrive(at),
    );
    const balancer = this.balancers[at];
    const promptTokens = this.drawSize(this.options.promptTokens);
    const want = {
      pool: 'p',
      model: 'm',
      engine: this.engineProfile,
      promptTokens,
      excluded: new Set<string>(),
    };
    const target = balancer.choose({...want, mayQueue: true});
    if (!target) {
      throw new Error('no engine was chosen');
    }
    const {objectiveMs, pauseMs, events, zones} = this.options;
    const sentAt = this.clock.time;
    let isFirst = true;
    let isLate = false;
    const {incarnation} = target;
    this.counts.streams += 1;
    this.counts.near += target.zone === `zone-${at % zones}` ? 1 : 0;
    balancer.recordRequestStart(incarnation, promptTokens);
    this.engines.get(incarnation)?.add(sentAt, {
      unreadTokens: promptTokens,
      eventsLeft: this.drawSize(events),
      onEvent: (now, pause) => {
        balancer.recordActivity(incarnation);
        if (isFirst) {
          isFirst = false;
          balancer.recordResponseStart(incarnation, promptTokens);
          isLate = now - sentAt > objectiveMs;
          this.counts.lateFirstEvents += isLate ? 1 : 0;
        }
        isLate ||= pause > pauseMs;
      },
      onEnd: () => {
        balancer.recordRequestEnd(incarnation);
        this.counts.late += isLate ? 1 : 0;
      },
    });
  }
}
