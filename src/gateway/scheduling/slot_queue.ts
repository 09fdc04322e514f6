/** The queue of one gateway for the slots of one model: who begins next, who may wait, and when a refused caller should return. */
import {Clock} from '../../common/clock';
import {ArrivalMeter} from '../../coordination/scheduling/arrival_meter';
import {computeReservedSlots} from '../../coordination/scheduling/compute_reserved_slots';
import {estimateSlotTime} from '../../coordination/scheduling/estimate_slot_time';
import {LateAdmission} from '../../coordination/scheduling/late_admission';
import {RequestQueue} from '../../coordination/scheduling/request_queue';
import {EngineProfile} from '../../protocol/engine_profile';
import {QueueReport} from '../../protocol/queue_report';
import {AdmissionSource} from './admission_source';
import {EngineLoad} from './engine_load';
import {FullEngines} from './full_engines';
import {QueuedRequest} from './queued_request';
import {ShortageDetector} from './shortage_detector';
import {WaitEstimate} from './wait_estimate';

const MS_PER_SECOND = 1_000;
/** Expected tokens of an answer before one was measured. */
const DEFAULT_ANSWER_TOKENS = 100;
/** Weight of the newest sample in moving averages; older ones fade over about ten requests. */
const NEWEST_WEIGHT = 0.1;
/** Reserved for the delivery of an event to the caller. */
const DELIVERY_MS = 100;
/** Fraction of the freed slots that arrivals must leave for a lasting overload to count as over; less is noise at the rates of one gateway. */
const MIN_SPARE = 0.4;
/** A request whose caller disconnects within this time begins whatever is reserved: it was promised a slot. */
const DUE_MS = 500;
/** Time until a slot that is known to be free is used: a round trip to the leader and a check of the waiting requests. */
const FREE_SLOT_MS = 40;
/** Refusals that are older are not reported. */
const REPORTED_REFUSAL_MS = 10_000;

/** The engines that the queue is for. */
interface SlotQueueOptions {
  readonly clock: Clock;
  readonly pool: string;
  readonly model: string;
  readonly admissions?: AdmissionSource;
}

/** Requests of one pool and model that wait for a slot or run. */
export class SlotQueue {
  private readonly queue = RequestQueue.create<QueuedRequest>();
  private readonly arrivals: ArrivalMeter;
  /** When each running request was sent. */
  private readonly running = new Map<object, {at: number; target: string}>();
  private readonly full = FullEngines.create();
  private readonly refusedAt = new Map<number, number>();
  readonly shortage = ShortageDetector.create();
  private readonly lateAdmissions = new Map<number, LateAdmission>();
  private retriesAt: number[] = [];
  private answerTokens: number | undefined;
  private slotMs: number | undefined;
  private isServing = false;
  private servedAt = -Infinity;

  private constructor(
    private readonly options: SlotQueueOptions,
    private engine: EngineProfile,
  ) {
    this.arrivals = ArrivalMeter.create(options.clock.now());
  }

  /**
   * Creates an empty queue.
   *
   * @example
   * const queue = SlotQueue.create({clock, pool: 'p', model: 'm', admissions}, engine);
   */
  static create(options: SlotQueueOptions, engine: EngineProfile): SlotQueue {
    return new SlotQueue(options, engine);
  }

  /** Replaces the engine's figures after the rules changed. */
  setEngine(engine: EngineProfile): void {
    this.engine = engine;
  }

  get size(): number {
    return this.queue.size;
  }

  /** Mean tokens of the answers so far. */
  get expectedAnswerTokens(): number {
    return this.answerTokens ?? DEFAULT_ANSWER_TOKENS;
  }

  recordArrival(urgency: number): void {
    this.arrivals.record(urgency, this.options.clock.now());
  }

  /**
   * Records that a request of this gateway is sent.
   *
   * @param target key of the backend server
   */
  recordStart(request: object, target: string): void {
    this.running.set(request, {at: this.options.clock.now(), target});
    this.full.recordSent(target);
  }

  /**
   * Records that an attempt ended without having run.
   *
   * @param isFull the engine refused it since it had no free slot
   */
  recordNotRun(request: object, urgency: number, isFull: boolean): void {
    const sent = this.running.get(request);
    this.running.delete(request);
    if (sent && !isFull) {
      this.full.recordFreed(sent.target);
    } else if (sent) {
      this.full.recordRefused(sent.target, urgency, this.options.clock.now());
    }
  }

  /**
   * Records that a request has freed its slot.
   *
   * @param events number of events of a complete answer; undefined if it is not complete
   */
  recordEnd(request: object, events: number | undefined): void {
    const sent = this.running.get(request);
    if (!sent) {
      return;
    }
    this.running.delete(request);
    this.full.recordFreed(sent.target);
    if (events !== undefined) {
      const tookMs = this.options.clock.now() - sent.at;
      this.slotMs = computeAverage(this.slotMs, tookMs);
    }
    if (events) {
      const tokens = events * this.engine.stepsPerEvent;
      this.answerTokens = computeAverage(this.answerTokens, tokens);
    }
  }

  /** Adds a request to the queue; it keeps its place by its arrival if it returns. */
  join(request: QueuedRequest): void {
    this.queue.add(request, this.options.clock.now());
  }

  leave(request: QueuedRequest): void {
    this.queue.remove(request);
  }

  /** Sends waiting requests in their order for as long as slots are free for them. */
  serve(load: () => EngineLoad): void {
    // Sending may call back into the queue.
    if (this.isServing) {
      return;
    }
    this.isServing = true;
    try {
      this.sendInOrder(load);
    } finally {
      this.isServing = false;
    }
  }

  /**
   * Serves the queue once for all requests that are checked at the same time.
   *
   * @param now the time of the check
   */
  serveOnce(now: number, load: () => EngineLoad): void {
    if (this.servedAt !== now) {
      this.servedAt = now;
      this.serve(load);
    }
  }

  /** Checks whether a waiting request has become late while late ones get no slots. */
  isOvertaken({urgency, latestStartAt}: QueuedRequest, load: () => EngineLoad) {
    const now = this.options.clock.now();
    return (
      now > latestStartAt && this.shortage.excludesLate(urgency, load(), now)
    );
  }

  /** Estimates when a request begins that is not in the queue. */
  estimate(request: QueuedRequest, load: () => EngineLoad): WaitEstimate {
    const now = this.options.clock.now();
    const {urgency, latestStartAt, expiresAt} = request;
    const inTime = this.estimateWait(request, true, now);
    const known = load();
    const mayBeLate = !this.shortage.excludesLate(urgency, known, now);
    const isStarved = this.queue.isStarved(urgency, now);
    const mayBegin = now <= latestStartAt || mayBeLate || isStarved;
    // Few requests run here on a quiet gateway, and the slots that others leave are free for it.
    if (!this.isClosed(urgency) && known.freeSlots > inTime.ahead) {
      const canWait = mayBegin && now < expiresAt;
      return {...inTime, waitMs: FREE_SLOT_MS, mayBegin, canWait};
    }
    if (this.isClosed(urgency)) {
      // One request of a starved level waits, and begins before its caller disconnects.
      return {...inTime, waitMs: Infinity, mayBegin, canWait: isStarved};
    }
    if (now + inTime.waitMs <= Math.min(latestStartAt, expiresAt)) {
      return {...inTime, mayBegin, canWait: true};
    }
    const wait = this.estimateWait(request, false, now);
    const isSoon = now + wait.waitMs + DELIVERY_MS <= expiresAt;
    const late = this.findLateAdmission(urgency);
    const isSpare =
      this.computeSpareRate(urgency, now) > this.freedPerMs * MIN_SPARE;
    const canWait =
      (isSoon && late.decide(now, isSpare) && mayBeLate) || isStarved;
    return {...wait, mayBegin, canWait};
  }

  private findLateAdmission(urgency: number): LateAdmission {
    const late = this.lateAdmissions.get(urgency) ?? LateAdmission.create();
    this.lateAdmissions.set(urgency, late);
    return late;
  }

  /**
   * Estimates when a refused caller finds a slot: after the waiting requests
   * and the retries promised earlier, at the rate at which freed slots exceed
   * arrivals.
   *
   * @returns milliseconds; Infinity while arrivals exceed freed slots
   */
  estimateRetryMs(urgency: number): number {
    const now = this.options.clock.now();
    this.retriesAt = this.retriesAt.filter(at => at > now);
    const spare = this.computeSpareRate(urgency, now);
    const before = this.queue.size + this.retriesAt.length;
    return spare > 0 ? (before + 1) / spare : Infinity;
  }

  /** Records that a caller was refused and told to return after this delay. */
  recordRefusal(urgency: number, retryMs: number): void {
    const now = this.options.clock.now();
    this.refusedAt.set(urgency, now);
    this.retriesAt.push(now + retryMs);
  }

  /** Describes the queue for the leader; undefined if it has no requests. */
  describe(): QueueReport | undefined {
    const {clock, pool, model} = this.options;
    const now = clock.now();
    const levels = this.arrivals.listUrgencies().flatMap(urgency => {
      const waiting = this.queue.countWaiting(urgency);
      const requestsPerSecond =
        this.arrivals.findRate(urgency, now) * MS_PER_SECOND;
      const msAgo = now - (this.refusedAt.get(urgency) ?? -Infinity);
      const refusedMsAgo = msAgo < REPORTED_REFUSAL_MS ? msAgo : undefined;
      const hasRequests = waiting > 0 || requestsPerSecond > 0;
      return hasRequests || refusedMsAgo !== undefined
        ? [{urgency, waiting, requestsPerSecond, refusedMsAgo}]
        : [];
    });
    return levels.length > 0 ? {pool, model, levels} : undefined;
  }

  private sendInOrder(load: () => EngineLoad): void {
    const now = this.options.clock.now();
    let below = Infinity;
    for (;;) {
      const next = this.queue.findNext(now, below);
      if (!next) {
        return;
      }
      if (!this.canBegin(next, load, now)) {
        // A slot that is reserved may still go to a more urgent request.
        below = next.urgency;
        continue;
      }
      const target = next.findTarget(this.full.list(next.urgency, now));
      if (!target) {
        return;
      }
      this.queue.start(next);
      next.send(target);
    }
  }

  private canBegin(
    {urgency, expiresAt}: QueuedRequest,
    load: () => EngineLoad,
    now: number,
  ): boolean {
    if (expiresAt - now < DUE_MS) {
      return true;
    }
    if (this.isClosed(urgency)) {
      return false;
    }
    const {pool, model, admissions} = this.options;
    const global = admissions?.findAdmission(pool, model);
    const ownPerMs = this.arrivals.computeMoreUrgentRate(urgency, now);
    if (ownPerMs === 0 && !global) {
      return true;
    }
    const {freeSlots, running} = load();
    const globalPerMs = (global?.arrivals ?? [])
      .filter(arrival => arrival.urgency < urgency)
      .reduce((sum, arrival) => sum + arrival.requestsPerSecond, 0);
    // Without a report of the leader the other gateways are taken for alike.
    const scale = Math.max(1, running / Math.max(1, this.running.size));
    const reserved = computeReservedSlots({
      moreUrgentPerMs: global ? globalPerMs / MS_PER_SECOND : ownPerMs * scale,
      freedPerMs: this.freedPerMs,
      slots: freeSlots + running,
    });
    return freeSlots > reserved;
  }

  /** True if the leader admits only more urgent requests. */
  private isClosed(urgency: number): boolean {
    const {pool, model, admissions} = this.options;
    const admitted = admissions?.findAdmission(pool, model)?.admittedUrgency;
    return admitted !== undefined && admitted !== null && urgency > admitted;
  }

  private estimateWait(
    request: QueuedRequest,
    isInTime: boolean,
    now: number,
  ): Omit<WaitEstimate, 'mayBegin' | 'canWait'> {
    const {urgency} = request;
    const ahead = this.queue.countAhead(request, isInTime, now);
    const rate =
      this.freedPerMs - this.arrivals.computeMoreUrgentRate(urgency, now);
    // The time until the n-th slot is freed varies with the square root of n.
    const slots = ahead + 1 + (isInTime ? 0 : Math.sqrt(ahead));
    return {
      ahead,
      waitMs: rate > 0 ? slots / rate : Infinity,
      running: this.running.size,
      slotMs: this.meanSlotMs,
    };
  }

  /** Slots freed per millisecond beyond those that arrivals of this urgency and more urgent ones take. */
  private computeSpareRate(urgency: number, now: number): number {
    const arriving =
      this.arrivals.computeMoreUrgentRate(urgency, now) +
      this.arrivals.findRate(urgency, now);
    return this.freedPerMs - arriving;
  }

  /**
   * Slots that requests of this gateway free per millisecond. Of n requests
   * that began at random times the next one ends after 1 / (n + 1) of the mean
   * duration.
   */
  private get freedPerMs(): number {
    return (this.running.size + 1) / this.meanSlotMs;
  }

  private get meanSlotMs(): number {
    const {engine, expectedAnswerTokens: answerTokens} = this;
    const {model} = this.options;
    const slotMs =
      this.slotMs ?? estimateSlotTime({engine, model, answerTokens});
    return Math.max(1, slotMs);
  }
}

function computeAverage(known: number | undefined, newest: number): number {
  return known === undefined
    ? newest
    : known + (newest - known) * NEWEST_WEIGHT;
}
