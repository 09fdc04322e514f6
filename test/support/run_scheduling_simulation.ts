import {ServerAddress} from '../../src/common/server_address';
/**
 * Simulates gateways that schedule streams of several urgencies onto the same engines,
 * with the real queue, wait and load balancer of each gateway, on a virtual clock.
 */
import {estimateRequestWork} from '../../src/coordination/scheduling/estimate_request_work';
import {QueueReports} from '../../src/control/queue_reports';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';
import {SlotForecast} from '../../src/gateway/scheduling/slot_forecast';
import {SlotWait} from '../../src/gateway/scheduling/slot_wait';
import {EngineProfile} from '../../src/protocol/engine_profile';
import {ModelAdmission} from '../../src/protocol/model_admission';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {BatchingEngine} from './batching_engine';
import {ENGINE_PROFILE} from './engine_profile';
import {
  ScheduledStream,
  SchedulingKind,
  SchedulingOptions,
  SchedulingResult,
} from './scheduling_simulation_types';

const ROUTE = {pool: 'p', model: 'm'};
const CHECK_MS = 20;
const NETWORK_MS = 1;
const REPORT_MS = 250;
const TIMEOUT_MS = 10_000;
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const MIN_PATIENCE_MS = 2_000;

/**
 * Runs one simulation; streams that are open at its end count as they are.
 *
 * @example
 * const {streams} = runSchedulingSimulation({gateways: 16, heads: 3, kinds, lengthMs: 20_000, random});
 */
export function runSchedulingSimulation(
  options: SchedulingOptions,
): SchedulingResult {
  return new Simulation(options).run();
}

class Simulation {
  private time = 0;
  private readonly clock = {now: () => this.time};
  private readonly schedule: Array<{at: number; act: () => void}> = [];
  private readonly engines = new Map<string, BatchingEngine>();
  private readonly gateways: Gateway[];
  private readonly queueReports: QueueReports;
  private readonly streams: ScheduledStream[] = [];
  private readonly counts = {used: 0, slots: 0, refusedSends: 0, sends: 0};

  constructor(private readonly options: SchedulingOptions) {
    this.queueReports = QueueReports.create(options.agreement === 'levels');
    const targets = new Map<string, GatewayTarget>();
    const {engine} = this;
    const {slots} = engine;
    for (let at = 0; at < options.heads; at += 1) {
      const incarnation = `head-${at}`;
      const zone = `zone-${at % 3}`;
      targets.set(incarnation, {
        ...ROUTE,
        incarnation,
        address: ServerAddress.parse(`a:${at + 1}`),
        zone,
        slots,
        epoch: 1,
      });
      this.engines.set(
        incarnation,
        BatchingEngine.create({
          slots,
          stepMs: engine.stepMs,
          stepMsPerRequest: engine.stepMsPerRequest,
          tokensPerMs: engine.promptTokensPerSecond / 1_000,
          chunkTokens: engine.promptChunkTokens,
          stepsPerEvent: engine.stepsPerEvent,
          pace: options.pace ?? 1,
        }),
      );
    }
    this.gateways = Array.from({length: options.gateways}, (_, at) => {
      const balancer = LoadBalancer.create(
        `zone-${at % 3}`,
        this.clock,
        options.random,
      );
      balancer.setTargets(targets);
      const name = String(at);
      const admissions = new Map<string, ModelAdmission>();
      const forecast = SlotForecast.create(this.clock, {
        findAdmission: (_pool, model) => admissions.get(model),
      });
      const waiting = new Set<{check: (now: number) => void}>();
      return {name, admissions, balancer, forecast, waiting, reported: {}};
    });
  }

  private get engine(): EngineProfile {
    return this.options.engine ?? ENGINE_PROFILE;
  }

  run(): SchedulingResult {
    const {lengthMs, kinds, random} = this.options;
    this.gateways.forEach(gateway => {
      this.after(random() * this.reportMs, () => this.exchange(gateway));
      this.after(random() * CHECK_MS, () => this.check(gateway));
    });
    kinds.forEach(kind => this.after(0, () => this.arrive(kind)));
    this.after(0, () => this.sample());
    while (this.time < lengthMs) {
      const engine = this.findNextEngine();
      const [next] = this.schedule;
      if (engine && (engine.batchEndsAt ?? Infinity) <= next.at) {
        this.time = engine.batchEndsAt ?? this.time;
        engine.endBatch();
      } else {
        this.schedule.shift();
        this.time = next.at;
        next.act();
      }
    }
    const {used, slots, refusedSends, sends} = this.counts;
    const usedSlots = slots > 0 ? used / slots : 1;
    return {streams: this.streams, usedSlots, refusedSends, sends};
  }

  private findNextEngine(): BatchingEngine | undefined {
    return [...this.engines.values()]
      .filter(({batchEndsAt}) => batchEndsAt !== undefined)
      .sort((a, b) => (a.batchEndsAt ?? 0) - (b.batchEndsAt ?? 0))[0];
  }

  private after(delayMs: number, act: () => void): void {
    const at = this.time + delayMs;
    let index = this.schedule.length;
    while (index > 0 && this.schedule[index - 1].at > at) {
      index -= 1;
    }
    this.schedule.splice(index, 0, {at, act});
  }

  private drawExponential(): number {
    return -Math.log(1 - this.options.random());
  }

  private drawSize(mean: number): number {
    const draw = this.drawExponential() + this.drawExponential();
    return Math.max(1, Math.round((mean * draw) / 2));
  }

  private exchange(gateway: Gateway): void {
    gateway.reported = gateway.balancer.describeHealth().running;
    const sums: Record<string, number> = {};
    for (const other of this.gateways) {
      for (const [name, count] of Object.entries(other.reported)) {
        sums[name] = (sums[name] ?? 0) + (other === gateway ? 0 : count);
      }
    }
    gateway.balancer.setRunningElsewhere(sums, this.gateways.length - 1);
    if (this.options.agreement) {
      this.exchangeQueues(gateway);
    }
    this.after(this.reportMs, () => this.exchange(gateway));
  }

  private get reportMs(): number {
    return this.options.reportMs ?? REPORT_MS;
  }

  /** Changes reach a gateway with its next report: the end of long polls is not simulated. */
  private exchangeQueues({name, admissions, forecast}: Gateway): void {
    const {queueReports} = this;
    queueReports.record(name, forecast.queues.describe(), this.time);
    for (const admission of queueReports.list(name, this.time) ?? []) {
      admissions.set(admission.model, admission);
    }
  }

  private check(gateway: Gateway): void {
    const now = this.time;
    for (const request of gateway.waiting) {
      request.check(now);
    }
    this.after(CHECK_MS, () => this.check(gateway));
  }

  /** Slots count as used or not while any request waits for one. */
  private sample(): void {
    if (this.gateways.some(({waiting}) => waiting.size > 0)) {
      for (const engine of this.engines.values()) {
        this.counts.used += engine.load;
        this.counts.slots += this.engine.slots;
      }
    }
    this.after(CHECK_MS, () => this.sample());
  }

  private arrive(kind: SchedulingKind): void {
    const perSecond = kind.perSecondAt(this.time);
    if (perSecond <= 0) {
      this.after(10, () => this.arrive(kind));
      return;
    }
    this.after((this.drawExponential() * 1_000) / perSecond, () =>
      this.arrive(kind),
    );
    const stream = {
      kind,
      arrivedAt: this.time,
      promptTokens: this.drawSize(kind.promptTokens),
      isServed: false,
      refusedAfterMs: [],
      hasReturned: false,
    };
    this.streams.push(stream);
    this.begin(stream, this.drawSize(kind.events));
  }

  /** One call of a stream's caller, at a drawn gateway. */
  private begin(stream: ScheduledStream, events: number): void {
    const {random} = this.options;
    const {gateways} = this;
    const gateway = gateways[Math.floor(random() * gateways.length)];
    const {balancer, forecast} = gateway;
    const {kind, promptTokens} = stream;
    const arrivedAt = this.time;
    const {engine} = this;
    const queue = forecast.queues.get({...ROUTE, engine});
    const answerTokens = queue.expectedAnswerTokens;
    const wait = SlotWait.create({
      forecast,
      clock: this.clock,
      queue,
      work: kind.name,
      urgency: kind.urgency,
      workspace: kind.workspace,
      workMs: estimateRequestWork({
        engine,
        model: 'm',
        promptTokens,
        answerTokens,
      }),
      objectiveMs: kind.objectiveMs,
      arrivedAt,
      waitedMs: arrivedAt - stream.arrivedAt,
      deadlineAt: stream.arrivedAt + TIMEOUT_MS,
      isStream: true,
      maxRetryAfterFraction: MAX_RETRY_AFTER_FRACTION,
      maxPauseMs: Math.max(MIN_PATIENCE_MS, 4 * kind.objectiveMs),
      reserveRetry: () => ({inMs: Infinity, isOnlyOption: false}),
      findRepairMs: () => 0,
      readLoad: () => balancer.readLoad(ROUTE),
    });
    const waiting = {
      check: (now: number) => {
        if (wait.isInQueue) {
          wait.check(now);
        } else if (wait.isWaiting) {
          join();
        }
        if (wait.isWaiting && !wait.canKeepWaiting(now)) {
          refuse();
        }
      },
    };
    const end = () => {
      wait.end();
      gateway.waiting.delete(waiting);
    };
    const refuse = () => {
      end();
      stream.refusedAfterMs.push(this.time - arrivedAt);
      const retryMs = wait.computeRetryAfterMs();
      if (!stream.hasReturned) {
        stream.hasReturned = true;
        this.after(retryMs, () => this.begin(stream, events));
      }
    };
    const join = () => {
      const accepted = wait.joinQueue({
        findTarget: full =>
          balancer.choose({
            ...ROUTE,
            mayQueue: false,
            excluded: new Set(full),
          }),
        send: target => {
          gateway.waiting.delete(waiting);
          this.send(target, {stream, events, gateway, wait, arrivedAt}, () => {
            wait.defer();
            join();
          });
        },
      });
      if (!accepted) {
        refuse();
      } else if (wait.isWaiting) {
        gateway.waiting.add(waiting);
      }
    };
    join();
  }

  private send(
    target: GatewayTarget,
    {stream, events, gateway, wait, arrivedAt}: Sending,
    onRefused: () => void,
  ): void {
    const {incarnation} = target;
    const {balancer, forecast} = gateway;
    const {kind, promptTokens} = stream;
    const engine = this.engines.get(incarnation);
    const sentAt = this.time;
    stream.waitMs = sentAt - stream.arrivedAt;
    wait.recordSent(target);
    this.counts.sends += 1;
    balancer.recordRequestStart(incarnation, promptTokens);
    if (
      !engine ||
      engine.load >= this.engine.slots + (this.options.engineQueue ?? 0)
    ) {
      this.counts.refusedSends += 1;
      this.after(NETWORK_MS, () => {
        balancer.recordResponseStart(incarnation, promptTokens);
        balancer.recordRequestEnd(incarnation);
        wait.recordSlotFreed({kind: 'not-run', isFull: true}, undefined);
        onRefused();
      });
      return;
    }
    let isFirst = true;
    engine.add(this.time, {
      unreadTokens: promptTokens,
      eventsLeft: events,
      onEvent: at => {
        balancer.recordActivity(incarnation);
        if (isFirst) {
          isFirst = false;
          balancer.recordResponseStart(incarnation, promptTokens);
          forecast.recordFirstEventMs(kind.name, at - sentAt);
          stream.firstEventMs = at - stream.arrivedAt;
          const patienceMs = Math.max(MIN_PATIENCE_MS, 4 * kind.objectiveMs);
          stream.isServed = at - arrivedAt < patienceMs;
        }
      },
      // The engine frees the slot first.
      onEnd: () =>
        this.after(NETWORK_MS, () => {
          balancer.recordRequestEnd(incarnation);
          wait.recordSlotFreed({kind: 'whole'}, events);
        }),
    });
  }
}

interface Gateway {
  readonly name: string;
  readonly admissions: Map<string, ModelAdmission>;
  readonly balancer: LoadBalancer;
  readonly forecast: SlotForecast;
  readonly waiting: Set<{check: (now: number) => void}>;
  reported: Readonly<Record<string, number>>;
}

interface Sending {
  readonly stream: ScheduledStream;
  readonly events: number;
  readonly gateway: Gateway;
  readonly wait: SlotWait;
  readonly arrivedAt: number;
}
