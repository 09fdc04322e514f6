/** What this gateway knows about backend servers: its own work there, and who stalls. */
import {Clock} from '../common/clock';
import {GatewayTarget} from '../protocol/gateway_target';
import {chooseByWaterFilling} from './choose_by_water_filling';
import {createTargetKey} from './create_target_key';
import {UnreportedLoad} from './unreported_load';

/** How long a backend server that did not take a connection is passed over. */
const UNREACHABLE_MS = 1_000;
/** How long one that stopped in the middle is passed over: longer than a load takes to move. */
const STALLED_MS = 3_000;
/** A group that comes later than this after a loss replaces nothing: hosts were moved, or have come back. */
const NO_REPAIR_MS = 10_000;
/** What this gateway tells control as heard "lately"; a few event intervals. */
const HEARD_LATELY_MS = 600;
/** Work that another zone must have less of to be chosen, in tokens: a hop is short against a prompt. */
const OTHER_ZONE_TOKENS = 60;
/** What one running request adds to the work of a target, in tokens read in the same time. */
const RUNNING_TOKENS = 250;

/** One target with what this gateway has there. */
interface Standing {
  target: GatewayTarget;
  running: number;
  /** Requests of other gateways, as last told. */
  runningElsewhere: number;
  /** Prompt tokens of requests that have not answered yet. */
  waitingTokens: number;
  heardAt: number;
  avoidUntil: number;
  stalledAt: number;
}

/** What a target is wanted for. */
interface Want {
  readonly pool: string;
  /** Also targets that have no place free: they queue. */
  readonly mayQueue: boolean;
  /** None that may still deny the request. */
  readonly excludesLimited?: boolean;
  readonly model?: string;
  /** Keys of targets that were tried in vain. */
  readonly excluded: ReadonlySet<string>;
}

/** What targets say of themselves. */
interface Openness {
  readonly isAvailable: (incarnation: string) => boolean;
  /** It takes a request by permit only. */
  readonly isLimited: (incarnation: string) => boolean;
}

const ALWAYS_OPEN: Openness = {isAvailable: () => true, isLimited: () => false};

/** Chooses targets and remembers how they did. */
export class LoadBalancer {
  private standings = new Map<string, Standing>();
  /** Since when a group is missing that was there, by model. */
  private readonly missingSince = new Map<string, number>();
  /** How long the last repair took, from the loss of a group to the next new one, by model. */
  private readonly repairMs = new Map<string, number>();

  private readonly unseen: UnreportedLoad;

  private constructor(
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly onStalled: () => void,
    private readonly openness: Openness,
  ) {
    this.unseen = UnreportedLoad.create(clock);
  }

  /**
   * Creates a board without targets.
   *
   * @param onStalled told when a target is newly known to have stopped
   * @param openness what targets say of themselves
   *
   * @example
   * const board = TargetBoard.create('zone-a', clock, Math.random);
   */
  static create(
    zone: string,
    clock: Clock,
    random: () => number,
    onStalled: () => void = () => undefined,
    openness = ALWAYS_OPEN,
  ): LoadBalancer {
    return new LoadBalancer(zone, clock, random, onStalled, openness);
  }

  /** Takes the targets that control tells; what is known of those that stay is kept. */
  setTargets(targets: ReadonlyMap<string, GatewayTarget>): void {
    const before = listGroups(this.standings);
    const standings = new Map<string, Standing>();
    for (const [incarnation, target] of targets) {
      const known = this.standings.get(incarnation);
      const hasMoved =
        known?.target.model !== target.model ||
        known?.target.epoch !== target.epoch;
      const standing = known ?? createStanding(target);
      standing.target = target;
      if (hasMoved) {
        standing.avoidUntil = -Infinity;
      }
      standings.set(incarnation, standing);
    }
    this.recordRepairs(before, listGroups(standings));
    this.standings = standings;
  }

  /** How long it took lately until a lost group of a model was replaced; 0 when none was. */
  findRepairMs(model: string): number {
    return this.repairMs.get(model) ?? 0;
  }

  private recordRepairs(
    before: ReadonlyMap<string, string>,
    after: ReadonlyMap<string, string>,
  ): void {
    const now = this.clock.now();
    for (const [key, model] of before) {
      if (!after.has(key)) {
        this.recordMissing(model, now);
      }
    }
    for (const [key, model] of after) {
      if (!before.has(key)) {
        this.recordFormed(model, now);
      }
    }
  }

  private recordFormed(model: string, now: number): void {
    const tookMs = now - (this.missingSince.get(model) ?? -Infinity);
    this.missingSince.delete(model);
    if (tookMs < NO_REPAIR_MS) {
      this.repairMs.set(model, tookMs);
    }
  }

  private recordMissing(model: string, now: number): void {
    this.missingSince.set(model, this.missingSince.get(model) ?? now);
  }

  /**
   * Notes what the other gateways have running.
   *
   * @param others how many they are
   */
  setRunningElsewhere(
    running: Readonly<Record<string, number>>,
    others = 0,
  ): void {
    this.unseen.recordReport(others);
    for (const [incarnation, standing] of this.standings) {
      standing.runningElsewhere = running[incarnation] ?? 0;
    }
  }

  /** True while control tells this target. */
  has(incarnation: string): boolean {
    return this.standings.has(incarnation);
  }

  /** One of the least busy targets; undefined when none is fit. */
  choose(want: Want): GatewayTarget | undefined {
    const now = this.clock.now();
    const fit = [...this.standings.values()].filter(
      standing =>
        standing.target.pool === want.pool &&
        standing.target.model === want.model &&
        !want.excluded.has(createTargetKey(standing.target)) &&
        standing.avoidUntil <= now &&
        this.isOpen(standing.target, want) &&
        (want.mayQueue || hasPlace(standing)),
    );
    const loads = fit.map(standing => this.computeWork(standing));
    const unseen = this.unseen.estimate(createLine(want));
    return fit[chooseByWaterFilling(loads, unseen, this.random())]?.target;
  }

  /** Starts of backend servers that serve a model of a pool. */
  listIncarnations({pool, model}: Pick<Want, 'pool' | 'model'>): string[] {
    return [...this.standings.values()].flatMap(({target}) =>
      target.pool === pool && target.model === model
        ? [target.incarnation]
        : [],
    );
  }

  /** Addresses of all targets. */
  listAddresses(): Set<string> {
    return new Set(
      [...this.standings.values()].map(({target}) => target.address),
    );
  }

  recordRequestStart(incarnation: string, promptTokens: number): void {
    const standing = this.standings.get(incarnation);
    if (standing) {
      const line = createLine(standing.target);
      this.unseen.recordStart(line, RUNNING_TOKENS + promptTokens);
      standing.running += 1;
      standing.waitingTokens += promptTokens;
    }
  }

  /** The first part of an answer came: its prompt is read. */
  recordResponseStart(incarnation: string, promptTokens: number): void {
    const standing = this.standings.get(incarnation);
    if (standing) {
      standing.waitingTokens = Math.max(
        0,
        standing.waitingTokens - promptTokens,
      );
    }
  }

  recordRequestEnd(incarnation: string): void {
    const standing = this.standings.get(incarnation);
    if (standing) {
      // It may have been forgotten and told anew meanwhile.
      standing.running = Math.max(0, standing.running - 1);
    }
  }

  /** Bytes of an answer came. */
  recordActivity(incarnation: string): void {
    const standing = this.standings.get(incarnation);
    if (standing) {
      if (this.isStalled(incarnation)) {
        // It was not lost after all.
        this.missingSince.delete(standing.target.model ?? '');
      }
      standing.heardAt = this.clock.now();
    }
  }

  /** Requests known to run at a target, here and at the other gateways; -1 for one that is not known. */
  countRunning(incarnation: string): number {
    const standing = this.standings.get(incarnation);
    return standing ? standing.running + standing.runningElsewhere : -1;
  }

  /** When bytes last came from a target. */
  findLastActivityAt(incarnation: string): number {
    return this.standings.get(incarnation)?.heardAt ?? -Infinity;
  }

  /** True while a target stopped in the middle and was not heard since. */
  isStalled(incarnation: string): boolean {
    const standing = this.standings.get(incarnation);
    return standing !== undefined && standing.stalledAt > standing.heardAt;
  }

  /** Passes over a target that took no connection, for a while. */
  recordUnreachable(incarnation: string): void {
    this.avoid(incarnation, UNREACHABLE_MS);
  }

  /**
   * Its process has ended: control is told at once, which would else take two
   * intervals of registrations to miss it, and its group as long to be formed anew.
   */
  recordProcessEnded(incarnation: string): void {
    this.recordStopped(incarnation, UNREACHABLE_MS);
  }

  /** Passes over a target that stopped in the middle of its answers. */
  recordStalled(incarnation: string): void {
    this.recordStopped(incarnation, STALLED_MS);
  }

  private recordStopped(incarnation: string, avoidMs: number): void {
    this.avoid(incarnation, avoidMs);
    const standing = this.standings.get(incarnation);
    if (standing) {
      const isNews = !this.isStalled(incarnation);
      standing.stalledAt = this.clock.now();
      this.recordMissing(standing.target.model ?? '', standing.stalledAt);
      if (isNews) {
        this.onStalled();
      }
    }
  }

  /** Forgets a target whose address is another start of a backend server now. */
  remove(incarnation: string): void {
    this.standings.delete(incarnation);
  }

  /** What control should know. */
  describeHealth() {
    const now = this.clock.now();
    const stalled: string[] = [];
    const answering: string[] = [];
    const answeringMsAgo: number[] = [];
    const counts: Record<string, number> = {};
    for (const [incarnation, standing] of this.standings) {
      const {heardAt, stalledAt, running} = standing;
      if (running > 0) {
        counts[incarnation] = running;
      }
      if (now - stalledAt < STALLED_MS && this.isStalled(incarnation)) {
        stalled.push(incarnation);
      } else if (now - heardAt < HEARD_LATELY_MS) {
        answering.push(incarnation);
        answeringMsAgo.push(Math.ceil(now - heardAt));
      }
    }
    return {stalled, answering, answeringMsAgo, running: counts};
  }

  private isOpen(
    {incarnation}: GatewayTarget,
    {excludesLimited: isSure}: Want,
  ): boolean {
    const {openness} = this;
    const isDoubtful = isSure && openness.isLimited(incarnation);
    return !isDoubtful && openness.isAvailable(incarnation);
  }

  private avoid(incarnation: string, forMs: number): void {
    const standing = this.standings.get(incarnation);
    if (standing) {
      standing.avoidUntil = this.clock.now() + forMs;
    }
  }

  private computeWork(standing: Standing): number {
    const {target, running, runningElsewhere, waitingTokens} = standing;
    const distance = target.zone === this.zone ? 0 : OTHER_ZONE_TOKENS;
    const total = running + runningElsewhere;
    return total * RUNNING_TOKENS + waitingTokens + distance;
  }
}

/** Targets of one model of one pool stand for each other. */
function createLine({pool, model = ''}: Pick<GatewayTarget, 'pool' | 'model'>) {
  return `${pool} ${model}`;
}

function createStanding(target: GatewayTarget): Standing {
  return {
    target,
    running: 0,
    runningElsewhere: 0,
    waitingTokens: 0,
    heardAt: -Infinity,
    avoidUntil: -Infinity,
    stalledAt: -Infinity,
  };
}

/** Models of the groups that serve, by the key of a group. */
function listGroups(
  standings: ReadonlyMap<string, Standing>,
): Map<string, string> {
  return new Map(
    [...standings.values()].flatMap(({target}) =>
      target.model === undefined
        ? []
        : [[createTargetKey(target), target.model] as const],
    ),
  );
}

/** Engines keep their pace up to their last place; beyond it requests queue there. */
function hasPlace({target, running, runningElsewhere}: Standing): boolean {
  const isEngine = target.model !== undefined;
  return !isEngine || running + runningElsewhere < target.slots;
}
