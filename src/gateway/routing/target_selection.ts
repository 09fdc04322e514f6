/** Selects a target for one request by the expected time to its first event. */
import {Clock} from '../../common/clock';
import {GatewayTarget} from '../../protocol/gateway_target';
import {chooseByWaterFilling} from './choose_by_water_filling';
import {createQueueKey} from './create_queue_key';
import {createTargetKey} from './create_target_key';
import {estimateFirstEventMs} from './estimate_first_event';
import {RequestSizes} from './request_sizes';
import {TargetAvailability} from './target_availability';
import {TargetQuery} from './target_query';
import {TargetState} from './target_state';
import {UnreportedLoad} from './unreported_load';

/**
 * Delay of the first event that is accepted to keep a request in its availability zone. With 20 ms
 * instead of 5 ms, 0.48 instead of 0.28 of the streams stayed in their zone (36 gateways, 20 engines
 * in 5 zones) and none more was late; it leaves 50 of the 70 ms between the median first event of a
 * busy deployment and its objective.
 */
const ZONE_CROSSING_DELAY_MS = 20;
/** Time by which one running request is assumed to delay another one at a plain service. */
const PLAIN_REQUEST_MS = 50;

/** Slots are plentiful if the expected requests of others leave one, and so many standard deviations more than expected. */
const RESERVED_DEVIATIONS = 3;
/**
 * A freed slot is reported as taken for this time. Requests that wait at this gateway reuse it
 * within the 20 ms between two checks; if it were reported as free meanwhile, every other
 * gateway with waiting requests would send to it.
 */
const HELD_SLOT_MS = 60;
/** Two checks of the waiting requests. */
const WAITING_MS = 40;
/** A claim that is not granted within this time is given up: a round trip and two checks of the waiting requests. */
const CLAIM_MS = 60;

/** What is known about the load that this gateway does not see itself. */
interface TargetSelectionOptions {
  readonly zone: string;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly availability: TargetAvailability;
  readonly unreported: UnreportedLoad;
  readonly sizes: RequestSizes;
  /** Called when the control plane should know at once that a slot is claimed. */
  readonly onClaim: () => void;
}

/** The decision of a load balancer, which keeps the states of the targets. */
export class TargetSelection {
  /** When a request last found no slot, by queue. */
  private readonly unservedAt = new Map<string, number>();

  private constructor(private readonly options: TargetSelectionOptions) {}

  /**
   * Creates a selection.
   *
   * @example
   * const selection = TargetSelection.create({zone, clock, random, availability, unreported, sizes, onClaim});
   */
  static create(options: TargetSelectionOptions): TargetSelection {
    return new TargetSelection(options);
  }

  /** Returns one of the targets with the earliest expected first event; undefined if none is eligible. */
  choose(
    states: readonly TargetState[],
    query: TargetQuery,
  ): GatewayTarget | undefined {
    const open = this.listOpen(states, query);
    const candidates = query.mayQueue
      ? open
      : open.filter(
          state =>
            state.running < state.ownSlots ||
            this.hasPlenty(state, open.length),
        );
    if (candidates.length === 0 && open.length > 0) {
      this.unservedAt.set(createQueueKey(query), this.options.clock.now());
      this.claimSlots(open, query);
      return undefined;
    }
    return this.chooseEarliest(candidates, query)?.target;
  }

  /**
   * Reports one slot more than this gateway uses, at the targets with a free one
   * and the earliest first events: as many as it is likely to need until the
   * claims are granted. Reports arrive at the leader one after the other, so
   * only the first gateway to claim the last slot of a target gets it.
   */
  private claimSlots(open: readonly TargetState[], query: TargetQuery): void {
    const {clock, unreported, onClaim} = this.options;
    const now = clock.now();
    const perMs = unreported.findOwnRate(createQueueKey(query));
    const needed = 1 + Math.floor(perMs * CLAIM_MS);
    const claims = open.filter(({claimUntil}) => claimUntil > now);
    let claimable = open.filter(
      state => !claims.includes(state) && countFreeSlots(state) >= 1,
    );
    while (claims.length < needed && claimable.length > 0) {
      const claimed = this.chooseEarliest(claimable, query) ?? claimable[0];
      claimed.claimUntil = now + CLAIM_MS;
      claims.push(claimed);
      claimable = claimable.filter(state => state !== claimed);
    }
    if (claims.some(({reportedSlots, running}) => reportedSlots <= running)) {
      onClaim();
    }
  }

  /** True if a request for this queue waits at this gateway: it looks for a slot at every check. */
  hasWaiting(queue: string): boolean {
    const at = this.unservedAt.get(queue) ?? -Infinity;
    return this.options.clock.now() - at < WAITING_MS;
  }

  /** Returns the slots that this gateway uses at a target or keeps for its waiting requests, which reuse freed ones. */
  countTakenSlots(state: TargetState): number {
    const now = this.options.clock.now();
    const {running, recentPeak, target, claimUntil} = state;
    const isHeld =
      now - recentPeak.at < HELD_SLOT_MS &&
      this.hasWaiting(createQueueKey(target));
    const claimed = claimUntil > now ? running + 1 : running;
    return isHeld ? Math.max(claimed, recentPeak.running) : claimed;
  }

  recordSlotFreed(state: TargetState, runningBefore: number): void {
    const now = this.options.clock.now();
    const {recentPeak} = state;
    const isPeakOver = now - recentPeak.at >= HELD_SLOT_MS;
    if (isPeakOver || runningBefore >= recentPeak.running) {
      state.recentPeak = {running: runningBefore, at: now};
    }
  }

  private chooseEarliest(
    candidates: readonly TargetState[],
    query: TargetQuery,
  ): TargetState | undefined {
    const delays = candidates.map(state => this.estimateDelayMs(state, query));
    const unreportedMs = this.estimateUnreportedMs(candidates, query);
    const random = this.options.random();
    return candidates[chooseByWaterFilling(delays, unreportedMs, random)];
  }

  /** Returns the targets that accept requests and have the memory for this one. */
  private listOpen(
    states: readonly TargetState[],
    query: TargetQuery,
  ): TargetState[] {
    const {clock, availability} = this.options;
    const now = clock.now();
    const {engine, promptTokens = 0} = query;
    if (engine && promptTokens > engine.contextTokens) {
      return [];
    }
    const open = states.filter(
      state =>
        state.target.pool === query.pool &&
        state.target.model === query.model &&
        !query.excluded.has(createTargetKey(state.target)) &&
        state.avoidUntil <= now &&
        state.closedUntil <= now &&
        (availability.zones?.isOpen(state.target.zone) ?? true) &&
        (query.mayQueue || state.fullUntil <= now) &&
        this.isEligible(state.target, query),
    );
    const fitting = open.filter(state => this.hasFreeMemory(state, query));
    // Whether a target exists at all does not depend on its load, and a request that has run must not be lost for it.
    return query.mayQueue && fitting.length === 0 ? open : fitting;
  }

  /**
   * True if a slot remains after all requests that other gateways are likely to
   * have sent since their report. Otherwise only slots that this gateway has
   * reported as its own are certain.
   */
  hasPlenty(state: TargetState, targets: number): boolean {
    if (state.target.model === undefined) {
      return true;
    }
    const queue = createQueueKey(state.target);
    const taken = this.options.unreported.estimateMostRequests(queue) / targets;
    const reserve = taken + RESERVED_DEVIATIONS * Math.sqrt(taken);
    return countFreeSlots(state) - reserve >= 1;
  }

  /** True if the prompt and the expected answer fit into the memory that is left at an engine. */
  private hasFreeMemory(
    {running, runningElsewhere, promptTokens}: TargetState,
    {engine, promptTokens: added = 0, pool, model}: TargetQuery,
  ): boolean {
    if (!engine) {
      return true;
    }
    const mean = this.options.sizes.find(createQueueKey({pool, model}));
    const answerTokens = mean.events * engine.stepsPerEvent;
    const total = running + runningElsewhere;
    const used =
      promptTokens +
      runningElsewhere * mean.promptTokens +
      total * answerTokens;
    const needed = used + added + answerTokens;
    return total === 0 || needed <= engine.contextTokens;
  }

  /** Returns the expected time to the first event of the request at a target, with the delay that leaving the zone counts as. */
  private estimateDelayMs(
    state: TargetState,
    {engine, model, promptTokens = 0}: TargetQuery,
  ): number {
    const {target, running, runningElsewhere, waitingTokens} = state;
    const zoneMs =
      target.zone === this.options.zone ? 0 : ZONE_CROSSING_DELAY_MS;
    const total = running + runningElsewhere;
    const tokens = waitingTokens + promptTokens;
    const load = {model, running: total, waitingTokens: tokens};
    return engine
      ? zoneMs + estimateFirstEventMs({engine, ...load})
      : zoneMs + total * PLAIN_REQUEST_MS;
  }

  /** Returns by how much the requests that others sent since their report delay the first events of all candidates together. */
  private estimateUnreportedMs(
    candidates: readonly TargetState[],
    {engine, pool, model}: TargetQuery,
  ): number {
    const {requests, promptTokens} = this.options.unreported.estimate(
      createQueueKey({pool, model}),
    );
    if (!engine || candidates.length === 0) {
      return requests * PLAIN_REQUEST_MS;
    }
    const running = Math.min(
      ...candidates.map(state => state.running + state.runningElsewhere),
    );
    const idle = {engine, model, running, waitingTokens: 0};
    const idleMs = estimateFirstEventMs(idle);
    const requestMs =
      estimateFirstEventMs({...idle, running: running + 1}) - idleMs;
    const prefillMs =
      estimateFirstEventMs({...idle, waitingTokens: promptTokens}) - idleMs;
    // Prompts that were sent earlier than a first event takes have been read.
    const unread = Math.min(1, idleMs / this.options.unreported.reportAgeMs);
    return requests * Math.max(0, requestMs) + prefillMs * unread;
  }

  private isEligible(
    {incarnation}: GatewayTarget,
    {excludesLimited}: TargetQuery,
  ): boolean {
    const {availability} = this.options;
    const mayBeDenied = excludesLimited && availability.isLimited(incarnation);
    return !mayBeDenied && availability.isAvailable(incarnation);
  }
}

function countFreeSlots({
  target,
  running,
  runningElsewhere,
}: TargetState): number {
  return target.slots - running - runningElsewhere;
}
