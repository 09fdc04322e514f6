/** Selects a target for one request by the expected time to its first event. */
import {Clock} from '../../common/clock';
import {GatewayTarget} from '../../protocol/gateway_target';
import {chooseByWaterFilling} from './choose_by_water_filling';
import {createQueueKey} from './create_queue_key';
import {createTargetKey} from './create_target_key';
import {estimateFirstEventMs} from './estimate_first_event';
import {RequestSizes} from './request_sizes';
import {RunningGrowth} from './running_growth';
import {TargetAvailability} from './target_availability';
import {TargetQuery} from './target_query';
import {TargetState} from './target_state';
import {UnreportedLoad} from './unreported_load';

/**
 * Delay of the first event that is accepted to keep a request in its availability zone, since
 * traffic between zones is expensive; short beside the time that most requests have left before
 * their objective.
 */
const ZONE_CROSSING_DELAY_MS = 20;
/** Time by which one running request is assumed to delay another one at a plain service. */
const PLAIN_REQUEST_MS = 50;

/** What is known about the load that this gateway does not see itself. */
interface TargetSelectionOptions {
  readonly zone: string;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly availability: TargetAvailability;
  readonly unreported: UnreportedLoad;
  readonly growth: RunningGrowth;
  readonly sizes: RequestSizes;
}

/** The decision of a load balancer, which keeps the states of the targets. */
export class TargetSelection {
  private constructor(private readonly options: TargetSelectionOptions) {}

  /**
   * Creates a selection.
   *
   * @example
   * const selection = TargetSelection.create({zone, clock, random, availability, unreported, growth, sizes});
   */
  static create(options: TargetSelectionOptions): TargetSelection {
    return new TargetSelection(options);
  }

  /** Returns one of the targets with the earliest expected first event; undefined if none is eligible. */
  choose(
    states: readonly TargetState[],
    query: TargetQuery,
  ): GatewayTarget | undefined {
    const candidates = this.listCandidates(states, query);
    const delays = candidates.map(state => this.estimateDelayMs(state, query));
    const unreportedMs = this.estimateUnreportedMs(candidates, query);
    const random = this.options.random();
    return candidates[chooseByWaterFilling(delays, unreportedMs, random)]
      ?.target;
  }

  /** Sums the free slots of the engines that accept requests, and the requests that these run. */
  readLoad(
    states: readonly TargetState[],
    query: Pick<TargetQuery, 'pool' | 'model'>,
  ): {freeSlots: number; running: number} {
    const now = this.options.clock.now();
    const {zones} = this.options.availability;
    const load = {freeSlots: 0, running: 0};
    for (const state of states) {
      const {target, running, runningElsewhere} = state;
      const total = running + runningElsewhere;
      const isUsable =
        target.pool === query.pool &&
        target.model === query.model &&
        this.isAccepting(state, now) &&
        (zones?.isOpen(target.zone) ?? true);
      if (isUsable) {
        load.running += total;
        load.freeSlots +=
          state.fullUntil > now ? 0 : Math.max(0, target.slots - total);
      }
    }
    return load;
  }

  /** False for a while after the target stalled, refused connections or answered that it is closed. */
  private isAccepting(
    {avoidUntil, closedUntil}: TargetState,
    now: number,
  ): boolean {
    return avoidUntil <= now && closedUntil <= now;
  }

  private listCandidates(
    states: readonly TargetState[],
    query: TargetQuery,
  ): TargetState[] {
    const {clock, unreported, growth, availability} = this.options;
    const now = clock.now();
    const {engine, promptTokens = 0} = query;
    if (engine && promptTokens > engine.contextTokens) {
      return [];
    }
    const served = states.filter(
      ({target}) => target.pool === query.pool && target.model === query.model,
    );
    const ageMs = unreported.reportAgeMs;
    const grown = growth.estimate(createQueueKey(query), ageMs);
    const grownEach = grown / Math.max(1, served.length);
    const open = served.filter(
      state =>
        !query.excluded.has(createTargetKey(state.target)) &&
        this.isAccepting(state, now) &&
        (availability.zones?.isOpen(state.target.zone) ?? true) &&
        this.isEligible(state.target, query) &&
        (query.mayQueue ||
          (state.fullUntil <= now && this.hasFreeSlot(state, grownEach))),
    );
    const fitting = open.filter(state => this.hasFreeMemory(state, query));
    // Whether a target exists at all does not depend on its load, and a request that has run must not be lost for it.
    return query.mayQueue && fitting.length === 0 ? open : fitting;
  }

  /**
   * An engine keeps its speed until all of its slots are taken. A slot that the
   * other gateways have partly taken since their report, by the recent growth
   * of their requests, is used with the probability that it is free.
   */
  private hasFreeSlot(state: TargetState, grown: number): boolean {
    const {target, running, runningElsewhere} = state;
    const free = target.slots - running - runningElsewhere;
    if (target.model === undefined || free - grown >= 1) {
      return true;
    }
    return free >= 1 && this.options.random() < free - grown;
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
