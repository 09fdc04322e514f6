/** Chooses the least loaded backend server for a request and tracks the health of each. */
import {Clock} from '../../common/clock';
import {GatewayTarget} from '../../protocol/gateway_target';
import {chooseByWaterFilling} from './choose_by_water_filling';
import {createTargetKey} from './create_target_key';
import {UnreportedLoad} from './unreported_load';
import {ZoneGuard} from './zone_guard';

/** Cooldown after a failed connection attempt. */
const UNREACHABLE_COOLDOWN_MS = 1_000;
/** Cooldown after a stall in the middle of a response; longer than loading a model takes. */
const STALL_COOLDOWN_MS = 3_000;
/** A group that forms later than this after a loss is not its replacement: hosts were reassigned or came back. */
const MAX_REPAIR_MS = 10_000;
/** A target counts as active if it sent bytes within this time; spans a few event intervals. */
const RECENT_ACTIVITY_MS = 600;
/**
 * Extra load assumed for targets in other zones, in prompt tokens; small, as a
 * network hop is short compared with reading a prompt.
 */
const CROSS_ZONE_PENALTY_TOKENS = 60;
/** Load of one running request, as the number of prompt tokens that are read in the same time. */
const REQUEST_TOKENS = 250;

/** A target and this gateway's view of it. */
interface TargetState {
  target: GatewayTarget;
  running: number;
  /** Requests sent by other gateways, as last reported. */
  runningElsewhere: number;
  /** Prompt tokens of requests without a response so far. */
  waitingTokens: number;
  lastActiveAt: number;
  avoidUntil: number;
  stalledAt: number;
}

/** The targets that are eligible for a request. */
interface TargetQuery {
  readonly pool: string;
  /** Includes targets without a free slot, which queue the request. */
  readonly mayQueue: boolean;
  /** Excludes rate-limited targets, whose permit may be denied. */
  readonly excludesLimited?: boolean;
  readonly model?: string;
  /** Keys of targets on which the request has already failed. */
  readonly excluded: ReadonlySet<string>;
}

/** What backend servers signalled about themselves in earlier responses. */
interface TargetAvailability {
  readonly isAvailable: (incarnation: string) => boolean;
  /** True if each request needs a permit. */
  readonly isLimited: (incarnation: string) => boolean;
  /** Absent where no zone is ever evacuated. */
  readonly zones?: ZoneGuard;
}

const ALWAYS_AVAILABLE: TargetAvailability = {
  isAvailable: () => true,
  isLimited: () => false,
};

/** Tracks targets, their load and their failures. */
export class LoadBalancer {
  /** Tells which zones are evacuated; `choose` leaves them out. */
  readonly zones: ZoneGuard;
  private states = new Map<string, TargetState>();
  /** When a group of the model was lost that has not been replaced yet, by model. */
  private readonly missingSince = new Map<string, number>();
  /** Time from the last loss of a group until a new one formed, by model. */
  private readonly repairMs = new Map<string, number>();

  private readonly unreported: UnreportedLoad;

  private constructor(
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly onStalled: () => void,
    private readonly availability: TargetAvailability,
  ) {
    this.unreported = UnreportedLoad.create(clock);
    this.zones = availability.zones ?? ZoneGuard.create();
  }

  /**
   * Creates a load balancer without targets.
   *
   * @param onStalled called when a target is newly known to have stalled
   * @param availability tells which targets accept requests
   *
   * @example
   * const balancer = LoadBalancer.create('zone-a', clock, Math.random);
   */
  static create(
    zone: string,
    clock: Clock,
    random: () => number,
    onStalled: () => void = () => undefined,
    availability: TargetAvailability = ALWAYS_AVAILABLE,
  ): LoadBalancer {
    return new LoadBalancer(zone, clock, random, onStalled, availability);
  }

  /** Replaces the targets with those from the control plane; targets that remain keep their state. */
  setTargets(targets: ReadonlyMap<string, GatewayTarget>): void {
    const before = listGroups(this.states);
    const states = new Map<string, TargetState>();
    for (const [incarnation, target] of targets) {
      const known = this.states.get(incarnation);
      const hasNewAssignment =
        known?.target.model !== target.model ||
        known?.target.epoch !== target.epoch;
      const state = known ?? createState(target);
      state.target = target;
      if (hasNewAssignment) {
        state.avoidUntil = -Infinity;
      }
      states.set(incarnation, state);
    }
    this.recordRepairs(before, listGroups(states));
    this.states = states;
  }

  /** Returns how long the last repair of the model took; 0 if there was none. */
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
        this.recordGroupLost(model, now);
      }
    }
    for (const [key, model] of after) {
      if (!before.has(key)) {
        this.recordGroupFormed(model, now);
      }
    }
  }

  private recordGroupFormed(model: string, now: number): void {
    const tookMs = now - (this.missingSince.get(model) ?? -Infinity);
    this.missingSince.delete(model);
    if (tookMs < MAX_REPAIR_MS) {
      this.repairMs.set(model, tookMs);
    }
  }

  private recordGroupLost(model: string, now: number): void {
    this.missingSince.set(model, this.missingSince.get(model) ?? now);
  }

  /**
   * Records the number of requests that other gateways have running, by
   * incarnation.
   *
   * @param others number of other gateways
   */
  setRunningElsewhere(
    running: Readonly<Record<string, number>>,
    others = 0,
  ): void {
    this.unreported.recordReport(others);
    for (const [incarnation, state] of this.states) {
      state.runningElsewhere = running[incarnation] ?? 0;
    }
  }

  /** True if the control plane lists this target. */
  has(incarnation: string): boolean {
    return this.states.has(incarnation);
  }

  /** Returns one of the least loaded targets; undefined if none is eligible. */
  choose(query: TargetQuery): GatewayTarget | undefined {
    const now = this.clock.now();
    const candidates = [...this.states.values()].filter(
      state =>
        state.target.pool === query.pool &&
        state.target.model === query.model &&
        !query.excluded.has(createTargetKey(state.target)) &&
        state.avoidUntil <= now &&
        this.zones.isOpen(state.target.zone) &&
        this.isEligible(state.target, query) &&
        (query.mayQueue || hasFreeSlot(state)),
    );
    const loads = candidates.map(state => this.computeLoad(state));
    const unreported = this.unreported.estimate(createQueueKey(query));
    return candidates[chooseByWaterFilling(loads, unreported, this.random())]
      ?.target;
  }

  /** Returns the targets that serve a model of a pool. */
  listTargets(query: Pick<TargetQuery, 'pool' | 'model'>): GatewayTarget[] {
    const {pool, model} = query;
    return [...this.states.values()]
      .map(({target}) => target)
      .filter(target => target.pool === pool && target.model === model);
  }

  /** Returns the incarnations of the targets that serve a model of a pool. */
  listIncarnations(query: Pick<TargetQuery, 'pool' | 'model'>): string[] {
    return this.listTargets(query).map(({incarnation}) => incarnation);
  }

  /** Addresses of all targets. */
  listAddresses(): Set<string> {
    return new Set([...this.states.values()].map(({target}) => target.address));
  }

  recordRequestStart(incarnation: string, promptTokens: number): void {
    const state = this.states.get(incarnation);
    if (state) {
      const queue = createQueueKey(state.target);
      this.unreported.recordStart(queue, REQUEST_TOKENS + promptTokens);
      state.running += 1;
      state.waitingTokens += promptTokens;
    }
  }

  /** Records the first part of a response: the engine has read the prompt. */
  recordResponseStart(incarnation: string, promptTokens: number): void {
    const state = this.states.get(incarnation);
    if (state) {
      state.waitingTokens = Math.max(0, state.waitingTokens - promptTokens);
    }
  }

  recordRequestEnd(incarnation: string): void {
    const state = this.states.get(incarnation);
    if (state) {
      // The target may have been removed and added again since the request
      // began.
      state.running = Math.max(0, state.running - 1);
    }
  }

  /** Records that response bytes arrived. */
  recordActivity(incarnation: string): void {
    const state = this.states.get(incarnation);
    if (state) {
      if (this.isStalled(incarnation)) {
        // The target recovered, so its group was not lost.
        this.missingSince.delete(state.target.model ?? '');
      }
      state.lastActiveAt = this.clock.now();
    }
  }

  /** Returns the requests known to run on a target, from this and the other gateways; -1 if the target is unknown. */
  countRunning(incarnation: string): number {
    const state = this.states.get(incarnation);
    return state ? state.running + state.runningElsewhere : -1;
  }

  /** Returns when bytes last arrived from a target. */
  findLastActivityAt(incarnation: string): number {
    return this.states.get(incarnation)?.lastActiveAt ?? -Infinity;
  }

  /** True if a target has stalled and has sent nothing since. */
  isStalled(incarnation: string): boolean {
    const state = this.states.get(incarnation);
    return state !== undefined && state.stalledAt > state.lastActiveAt;
  }

  /** Avoids a target for a while that refused a connection. */
  recordUnreachable(incarnation: string): void {
    this.avoid(incarnation, UNREACHABLE_COOLDOWN_MS);
  }

  /**
   * Records that the target's process has ended. The control plane is notified
   * at once: it would need two missed registrations to notice, which delays the
   * replacement of the group as well.
   */
  recordProcessEnded(incarnation: string): void {
    this.recordFailure(incarnation, UNREACHABLE_COOLDOWN_MS);
  }

  /** Avoids a target for a while that stalled in the middle of its responses. */
  recordStalled(incarnation: string): void {
    this.recordFailure(incarnation, STALL_COOLDOWN_MS);
  }

  private recordFailure(incarnation: string, avoidMs: number): void {
    this.avoid(incarnation, avoidMs);
    const state = this.states.get(incarnation);
    if (state) {
      const isNewlyStalled = !this.isStalled(incarnation);
      state.stalledAt = this.clock.now();
      this.recordGroupLost(state.target.model ?? '', state.stalledAt);
      if (isNewlyStalled) {
        this.onStalled();
      }
    }
  }

  /** Removes a target whose address now belongs to another incarnation. */
  remove(incarnation: string): void {
    this.states.delete(incarnation);
  }

  /** Describes stalled and active targets and the running requests for the control plane. */
  describeHealth() {
    const now = this.clock.now();
    const stalled: string[] = [];
    const answering: string[] = [];
    const answeringMsAgo: number[] = [];
    const counts: Record<string, number> = {};
    for (const [incarnation, state] of this.states) {
      const {lastActiveAt, stalledAt, running} = state;
      if (running > 0) {
        counts[incarnation] = running;
      }
      if (now - stalledAt < STALL_COOLDOWN_MS && this.isStalled(incarnation)) {
        stalled.push(incarnation);
      } else if (now - lastActiveAt < RECENT_ACTIVITY_MS) {
        answering.push(incarnation);
        answeringMsAgo.push(Math.ceil(now - lastActiveAt));
      }
    }
    return {stalled, answering, answeringMsAgo, running: counts};
  }

  private isEligible(
    {incarnation}: GatewayTarget,
    {excludesLimited}: TargetQuery,
  ): boolean {
    const {availability} = this;
    const mayBeDenied = excludesLimited && availability.isLimited(incarnation);
    return !mayBeDenied && availability.isAvailable(incarnation);
  }

  private avoid(incarnation: string, durationMs: number): void {
    const state = this.states.get(incarnation);
    if (state) {
      state.avoidUntil = this.clock.now() + durationMs;
    }
  }

  private computeLoad(state: TargetState): number {
    const {target, running, runningElsewhere, waitingTokens} = state;
    const zonePenalty =
      target.zone === this.zone ? 0 : CROSS_ZONE_PENALTY_TOKENS;
    const total = running + runningElsewhere;
    return total * REQUEST_TOKENS + waitingTokens + zonePenalty;
  }
}

/** Targets with the same pool and model are interchangeable and share a queue. */
function createQueueKey({
  pool,
  model = '',
}: Pick<GatewayTarget, 'pool' | 'model'>) {
  return `${pool} ${model}`;
}

function createState(target: GatewayTarget): TargetState {
  return {
    target,
    running: 0,
    runningElsewhere: 0,
    waitingTokens: 0,
    lastActiveAt: -Infinity,
    avoidUntil: -Infinity,
    stalledAt: -Infinity,
  };
}

/** Returns the models of the serving groups, by target key. */
function listGroups(
  states: ReadonlyMap<string, TargetState>,
): Map<string, string> {
  return new Map(
    [...states.values()].flatMap(({target}) =>
      target.model === undefined
        ? []
        : [[createTargetKey(target), target.model] as const],
    ),
  );
}

/** An engine keeps its speed until all of its slots are taken; further requests queue there. */
function hasFreeSlot({
  target,
  running,
  runningElsewhere,
}: TargetState): boolean {
  const isEngine = target.model !== undefined;
  return !isEngine || running + runningElsewhere < target.slots;
}
