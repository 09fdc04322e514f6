/**
 * Many gateways that place streams on the same engines, each by its own board and
 * by what control tells it of the others, late. Everything runs on a virtual clock.
 */
import {Clock} from '../../src/common/clock';
import {LoadBalancer} from '../../src/gateway/load_balancer';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {BatchingEngine, BatchingProfile} from './batching_engine';

/** Sizes and load of a crowd. */
interface BalancingOptions {
  readonly gateways: number;
  readonly heads: number;
  readonly zones: number;
  /** Streams a second at all gateways together. */
  readonly perSecond: number;
  readonly lengthMs: number;
  /** Between two exchanges of a gateway with control. */
  readonly tellEveryMs: number;
  readonly profile: BatchingProfile;
  /** First event within this, in milliseconds. */
  readonly objectiveMs: number;
  readonly pauseMs: number;
  readonly promptTokens: number;
  readonly events: number;
  /** When one more engine begins to serve, in milliseconds. */
  readonly engineStartTimes?: readonly number[];
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** What callers got. */
export interface BalancingResult {
  readonly streams: number;
  /** Part of the streams whose first event or some pause came late. */
  readonly lateFirstEventFraction: number;
  readonly lateFraction: number;
  /** Streams at an engine: standard deviation over engines, averaged over time. */
  readonly loadDeviation: number;
  /** Part of the streams that ran in the gateway's own zone. */
  readonly sameZoneFraction: number;
}

interface Happening {
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
 * Plays a crowd.
 *
 * @example
 * const {late} = playCrowd({gateways: 36, heads: 13, ...});
 */
export function runBalancingSimulation(
  options: BalancingOptions,
): BalancingResult {
  return new Crowd(options).play();
}

class Crowd {
  private readonly clock = new VirtualClock();
  private readonly agenda: Happening[] = [];
  private readonly engines = new Map<string, BatchingEngine>();
  private readonly boards: LoadBalancer[];
  private readonly told: Array<Readonly<Record<string, number>>>;
  private readonly targets = new Map<string, GatewayTarget>();
  private readonly counts = {
    streams: 0,
    lateStart: 0,
    late: 0,
    near: 0,
    spread: 0,
    looks: 0,
  };

  constructor(private readonly options: BalancingOptions) {
    const {gateways, heads, zones, random} = options;
    this.boards = Array.from({length: gateways}, (_, at) =>
      LoadBalancer.create(`zone-${at % zones}`, this.clock, random),
    );
    this.told = this.boards.map(() => ({}));
    for (let at = 0; at < heads; at += 1) {
      this.open();
    }
  }

  play(): BalancingResult {
    const {
      lengthMs,
      tellEveryMs,
      engineStartTimes: opensAt,
      random,
    } = this.options;
    this.boards.forEach((_, at) => {
      this.plan(random() * tellEveryMs, () => this.exchange(at));
      this.plan(this.drawPause(), () => this.arrive(at));
    });
    this.plan(1_000, () => this.look());
    (opensAt ?? []).forEach(at => this.plan(at, () => this.open()));
    while (this.clock.time < lengthMs) {
      const passAt = this.findNextPass();
      const next = this.agenda[0];
      if (passAt && passAt.at <= next.at) {
        this.clock.time = passAt.at;
        passAt.engine.endBatch();
      } else {
        this.agenda.shift();
        this.clock.time = next.at;
        next.act();
      }
    }
    const {streams, lateStart, late, near, spread, looks} = this.counts;
    return {
      streams,
      lateFirstEventFraction: lateStart / streams,
      lateFraction: late / streams,
      sameZoneFraction: near / streams,
      loadDeviation: spread / looks,
    };
  }

  private open(): void {
    const {zones, profile} = this.options;
    const at = this.targets.size;
    const incarnation = `head-${at}`;
    this.targets.set(incarnation, {
      incarnation,
      pool: 'p',
      address: `a:${at}`,
      zone: `zone-${at % zones}`,
      slots: profile.slots,
      model: 'm',
      epoch: 1,
    });
    this.engines.set(incarnation, BatchingEngine.create(profile));
    this.boards.forEach(board => board.setTargets(new Map(this.targets)));
  }

  private findNextPass(): {at: number; engine: BatchingEngine} | undefined {
    let best: {at: number; engine: BatchingEngine} | undefined;
    for (const engine of this.engines.values()) {
      const at = engine.batchEndsAt;
      if (at !== undefined && (!best || at < best.at)) {
        best = {at, engine};
      }
    }
    return best;
  }

  private plan(at: number, act: () => void): void {
    const index = this.agenda.findIndex(other => other.at > at);
    this.agenda.splice(index < 0 ? this.agenda.length : index, 0, {at, act});
  }

  private drawPause(): number {
    const {gateways, perSecond, random} = this.options;
    return (-Math.log(1 - random()) * gateways * 1_000) / perSecond;
  }

  /** A sum of two draws: most are near the mean, some are several times as large. */
  private drawSize(mean: number): number {
    const {random} = this.options;
    const draw = -Math.log(1 - random()) - Math.log(1 - random());
    return Math.max(1, Math.round((mean * draw) / 2));
  }

  private exchange(at: number): void {
    const board = this.boards[at];
    const sums: Record<string, number> = {};
    this.told[at] = board.describeHealth().running;
    this.told.forEach((running, other) => {
      for (const [incarnation, count] of Object.entries(running)) {
        if (other !== at) {
          sums[incarnation] = (sums[incarnation] ?? 0) + count;
        }
      }
    });
    board.setRunningElsewhere(sums, this.boards.length - 1);
    this.plan(this.clock.time + this.options.tellEveryMs, () =>
      this.exchange(at),
    );
  }

  private look(): void {
    const loads = [...this.engines.values()].map(engine => engine.load);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const square = loads.reduce((sum, load) => sum + (load - mean) ** 2, 0);
    this.counts.spread += Math.sqrt(square / loads.length);
    this.counts.looks += 1;
    this.plan(this.clock.time + 50, () => this.look());
  }

  private arrive(at: number): void {
    this.plan(this.clock.time + this.drawPause(), () => this.arrive(at));
    const board = this.boards[at];
    const promptTokens = this.drawSize(this.options.promptTokens);
    const want = {pool: 'p', model: 'm', excluded: new Set<string>()};
    const target = board.choose({...want, mayQueue: true});
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
    board.recordRequestStart(incarnation, promptTokens);
    this.engines.get(incarnation)?.add(sentAt, {
      unreadTokens: promptTokens,
      eventsLeft: this.drawSize(events),
      onEvent: (now, pause) => {
        board.recordActivity(incarnation);
        if (isFirst) {
          isFirst = false;
          board.recordResponseStart(incarnation, promptTokens);
          isLate = now - sentAt > objectiveMs;
          this.counts.lateStart += isLate ? 1 : 0;
        }
        isLate ||= pause > pauseMs;
      },
      onEnd: () => {
        board.recordRequestEnd(incarnation);
        this.counts.late += isLate ? 1 : 0;
      },
    });
  }
}
