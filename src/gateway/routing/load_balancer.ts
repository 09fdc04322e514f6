/** Chooses the backend server with the earliest expected first event, and tracks the load and health of each. */
import {getOwn} from '../../common/get_own';
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {GatewayTarget} from '../../protocol/gateway_target';
import {createQueueKey} from './create_queue_key';
import {createTargetState} from './create_target_state';
import {RepairTimes} from './repair_times';
import {RequestEnd} from './request_end';
import {RequestSizes} from './request_sizes';
import {RunningGrowth} from './running_growth';
import {TargetEventLog} from './target_event_log';
import {TargetAvailability} from './target_availability';
import {TargetQuery} from './target_query';
import {TargetSelection} from './target_selection';
import {TargetState} from './target_state';
import {UnreportedLoad} from './unreported_load';
import {ZoneGuard} from './zone_guard';

/** Cooldown after a failed connection attempt. */
const UNREACHABLE_COOLDOWN_MS = 1_000;
/** Cooldown after a stall in the middle of a response; longer than loading a model takes. */
const STALL_COOLDOWN_MS = 3_000;
/**
 * Cooldown after a target answered that it does not serve its group. Its next registration, at
 * most a second later, tells the control plane, which then closes the target.
 */
const CLOSED_COOLDOWN_MS = 2_000;
/** Cooldown after a target refused a request as full: the reported loads are up to this old. */
const FULL_COOLDOWN_MS = 300;
/** A target counts as active if it sent bytes within this time; spans a few event intervals. */
const RECENT_ACTIVITY_MS = 600;
/** One check interval, in which waiting requests reuse a freed slot; until then it is reported as taken, or every other gateway would send to it. */
const HELD_SLOT_MS = 20;
const ALWAYS_AVAILABLE: TargetAvailability = {
  isAvailable: () => true,
  isLimited: () => false,
};

/** Tracks targets, their load and their failures. */
export class LoadBalancer {
  /** Tells which zones are evacuated; `choose` leaves them out. */
  readonly zones: ZoneGuard;
  private states = new Map<string, TargetState>();
  private readonly repairs: RepairTimes;
  private readonly unreported: UnreportedLoad;
  private readonly growth: RunningGrowth;
  private readonly sizes = RequestSizes.create();
  private readonly selection: TargetSelection;
  private readonly eventLog: TargetEventLog;

  private constructor(
    zone: string,
    private readonly clock: Clock,
    random: () => number,
    private readonly onChanged: () => void,
    availability: TargetAvailability,
    events: EventRing,
  ) {
    this.repairs = RepairTimes.create(clock);
    this.unreported = UnreportedLoad.create(clock);
    this.zones = availability.zones ?? ZoneGuard.create();
    this.growth = RunningGrowth.create(clock);
    this.selection = TargetSelection.create({
      zone,
      clock,
      random,
      availability,
      unreported: this.unreported,
      growth: this.growth,
      sizes: this.sizes,
    });
    this.eventLog = TargetEventLog.create(events, clock);
  }

  /**
   * Creates a load balancer without targets.
   *
   * @param onChanged called when the control plane should know at once that a
   * target stalled or closed
   * @param availability tells which targets accept requests
   *
   * @example
   * const balancer = LoadBalancer.create('zone-a', clock, Math.random);
   */
  static create(
    zone: string,
    clock: Clock,
    random: () => number,
    onChanged: () => void = () => undefined,
    availability: TargetAvailability = ALWAYS_AVAILABLE,
    events = EventRing.create(),
  ): LoadBalancer {
    return new LoadBalancer(
      zone,
      clock,
      random,
      onChanged,
      availability,
      events,
    );
  }

  /** Replaces the targets with those from the control plane; targets that remain keep their state. */
  setTargets(targets: ReadonlyMap<string, GatewayTarget>): void {
    const before = [...this.states.values()].map(({target}) => target);
    const states = new Map<string, TargetState>();
    for (const [incarnation, target] of targets) {
      const known = this.states.get(incarnation);
      const hasNewAssignment =
        known?.target.model !== target.model ||
        known?.target.epoch !== target.epoch;
      const state = known ?? createTargetState(target);
      state.target = target;
      if (hasNewAssignment) {
        state.avoidUntil = -Infinity;
        state.fullUntil = -Infinity;
        state.closedUntil = -Infinity;
      }
      states.set(incarnation, state);
    }
    this.repairs.recordChanges(before, targets.values());
    this.states = states;
  }

  /** Returns how long the last repair of the model took; 0 if there was none. */
  findRepairMs(model: string): number {
    return this.repairs.findRepairMs(model);
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
    const totals = new Map<string, number>();
    for (const [incarnation, state] of this.states) {
      const count = getOwn(running, incarnation) ?? 0;
      state.runningElsewhere = count;
      const queue = createQueueKey(state.target);
      totals.set(queue, (totals.get(queue) ?? 0) + count);
    }
    this.growth.recordReport(totals);
  }

  /** True if the control plane lists this target. */
  has(incarnation: string): boolean {
    return this.states.has(incarnation);
  }

  /** True if the control plane lists this target and it has not answered since that it is closed. */
  isOpen(incarnation: string): boolean {
    const state = this.states.get(incarnation);
    return state !== undefined && state.closedUntil <= this.clock.now();
  }

  /** Returns one of the targets with the earliest expected first event; undefined if none is eligible. */
  choose(query: TargetQuery): GatewayTarget | undefined {
    return this.selection.choose([...this.states.values()], query);
  }

  /** Returns the free slots of the engines of a model that accept requests, and the requests that these run. */
  readLoad(query: Pick<TargetQuery, 'pool' | 'model'>) {
    return this.selection.readLoad([...this.states.values()], query);
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

  /** Addresses of all open targets. */
  listAddresses(): Set<string> {
    return new Set(
      [...this.states.values()].flatMap(({target}) =>
        this.isOpen(target.incarnation) ? [target.address.toString()] : [],
      ),
    );
  }

  recordRequestStart(incarnation: string, promptTokens: number): void {
    const state = this.states.get(incarnation);
    if (state) {
      const queue = createQueueKey(state.target);
      this.unreported.recordStart(queue, promptTokens);
      this.sizes.recordPrompt(queue, promptTokens);
      state.running += 1;
      state.waitingTokens += promptTokens;
      state.promptTokens += promptTokens;
    }
  }

  /** Records the first part of a response: the engine has read the prompt. */
  recordResponseStart(incarnation: string, promptTokens: number): void {
    const state = this.states.get(incarnation);
    if (state) {
      state.waitingTokens = Math.max(0, state.waitingTokens - promptTokens);
    }
  }

  /** Records that a request is over, which frees its slot unless its response was rejected. */
  recordRequestEnd(
    incarnation: string,
    promptTokens = 0,
    {events, wasRejected = false}: RequestEnd = {},
  ): void {
    const state = this.states.get(incarnation);
    if (state) {
      const now = this.clock.now();
      const {running, recentPeak} = state;
      const isPeakOver = now - recentPeak.at >= HELD_SLOT_MS;
      if (isPeakOver || running >= recentPeak.running) {
        state.recentPeak = {running, at: now};
      }
      // The target may have been removed and added again since the request
      // began.
      state.running = Math.max(0, running - 1);
      state.promptTokens = Math.max(0, state.promptTokens - promptTokens);
      // A rejected response does not tell that the target has ended the request.
      if (!wasRejected) {
        state.fullUntil = -Infinity;
      }
      if (events !== undefined) {
        this.sizes.recordEvents(createQueueKey(state.target), events);
      }
    }
  }

  /** Records that response bytes arrived. */
  recordActivity(incarnation: string): void {
    const state = this.states.get(incarnation);
    if (state) {
      if (this.isStalled(incarnation)) {
        // The target recovered, so its group was not lost.
        this.repairs.recordRecovery(state.target.model ?? '');
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

  /**
   * Avoids a target for a while to which no connection could be made.
   *
   * @param cause why, for the log
   */
  recordUnreachable(incarnation: string, cause = 'unknown'): void {
    this.avoid(incarnation, UNREACHABLE_COOLDOWN_MS);
    const target = this.states.get(incarnation)?.target;
    if (target) {
      this.eventLog.recordUnreachable(target, cause);
    }
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

  /**
   * Records that a target answered that it does not serve its group. It gets
   * nothing more until the control plane lists it with another group, or for a
   * while; the control plane is notified at once, for the other gateways.
   */
  recordClosed({incarnation, epoch}: GatewayTarget): void {
    const state = this.states.get(incarnation);
    if (state && state.target.epoch === epoch) {
      const wasOpen = this.isOpen(incarnation);
      state.closedUntil = this.clock.now() + CLOSED_COOLDOWN_MS;
      this.recordRefusal(state, 'it does not serve this group any more');
      if (wasOpen) {
        this.onChanged();
      }
    }
  }

  /** Records that a target refused a request without running it: it gets no more until a slot there is freed or its load was reported again. */
  recordFull(incarnation: string): void {
    const state = this.states.get(incarnation);
    if (state) {
      state.fullUntil = this.clock.now() + FULL_COOLDOWN_MS;
      this.recordRefusal(state, 'it did not run the request');
    }
  }

  /** Describes stalled, active and closed targets and the running requests for the control plane. */
  describeHealth() {
    const now = this.clock.now();
    const stalled: string[] = [];
    const answering: string[] = [];
    const answeringMsAgo: number[] = [];
    const closedHeads: Array<{incarnation: string; epoch: number}> = [];
    const counts: Record<string, number> = {};
    for (const [incarnation, state] of this.states) {
      const {lastActiveAt, stalledAt, target, closedUntil} = state;
      const taken = countTakenSlots(state, now);
      if (taken > 0) {
        counts[incarnation] = taken;
      }
      if (now - stalledAt < STALL_COOLDOWN_MS && this.isStalled(incarnation)) {
        stalled.push(incarnation);
      } else if (now - lastActiveAt < RECENT_ACTIVITY_MS) {
        answering.push(incarnation);
        answeringMsAgo.push(Math.ceil(now - lastActiveAt));
      }
      if (closedUntil > now && target.epoch !== undefined) {
        closedHeads.push({incarnation, epoch: target.epoch});
      }
    }
    return {stalled, answering, answeringMsAgo, closedHeads, running: counts};
  }

  private recordFailure(incarnation: string, avoidMs: number): void {
    this.avoid(incarnation, avoidMs);
    const state = this.states.get(incarnation);
    if (state) {
      const isNewlyStalled = !this.isStalled(incarnation);
      state.stalledAt = this.clock.now();
      this.repairs.recordGroupLost(state.target.model ?? '', state.stalledAt);
      if (isNewlyStalled) {
        this.onChanged();
      }
    }
  }

  private recordRefusal(state: TargetState, reason: string): void {
    const {reportAgeMs} = this.unreported;
    this.eventLog.recordRefusal(state, reason, reportAgeMs);
  }

  private avoid(incarnation: string, durationMs: number): void {
    const state = this.states.get(incarnation);
    if (state) {
      state.avoidUntil = this.clock.now() + durationMs;
    }
  }
}

/** Returns the slots that this gateway uses at a target, freed ones that its waiting requests reuse included. */
function countTakenSlots(
  {running, recentPeak, target}: TargetState,
  now: number,
): number {
  const isHeld =
    target.model !== undefined && now - recentPeak.at < HELD_SLOT_MS;
  return isHeld ? Math.max(running, recentPeak.running) : running;
}
