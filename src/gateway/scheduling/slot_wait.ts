/**
 * The wait of one request: for a free engine slot, for a retry that the budget
 * allows, or for a replacement group to continue its stream.
 */
import {Clock} from '../../common/clock';
import {GatewayTarget} from '../../protocol/gateway_target';
import {createTargetKey} from '../routing/create_target_key';
import {AttemptOutcome} from '../attempt_outcome';
import {computeRetryAfterMs} from './compute_retry_after_ms';
import {QueuedRequest} from './queued_request';
import {SlotForecast} from './slot_forecast';
import {SlotQueue} from './slot_queue';
import {WaitEstimate} from './wait_estimate';

/** Reserved for the delivery of an event to the caller, in milliseconds. */
const DELIVERY_MS = 100;

/** The request and its time limits. */
interface SlotWaitOptions {
  readonly forecast: SlotForecast;
  readonly clock: Clock;
  /** The queue for a slot; undefined for services without slots. */
  readonly queue: SlotQueue | undefined;
  /** Key under which the forecast keeps the request's time to the first event. */
  readonly work: string;
  readonly urgency: number;
  readonly workspace: string;
  /** Engine time that the request takes. */
  readonly workMs: number;
  readonly objectiveMs: number;
  /** On this process's monotonic clock. */
  readonly arrivedAt: number;
  /** Time for which its caller waited before, in an attempt that was refused. */
  readonly waitedMs?: number;
  /** When the request times out, on the same clock. */
  readonly deadlineAt: number;
  /** Whether its caller disconnects after a pause rather than at the deadline. */
  readonly isStream: boolean;
  /**
   * Share of the remaining time that a Retry-After delay may take for callers
   * to honor it.
   */
  readonly maxRetryAfterFraction: number;
  /** Longest gap between events that the caller tolerates, in milliseconds. */
  readonly maxPauseMs: number;
  /**
   * Reserves the next free time of the backend servers that are rate limited or
   * back off for the caller, which is told to retry then. Returns the delay in
   * milliseconds, and whether no other backend server is left.
   */
  readonly reserveRetry: () => {
    readonly inMs: number;
    readonly isOnlyOption: boolean;
  };
  /** Returns how long the last replacement of a lost group of the model took. */
  readonly findRepairMs: () => number;
  /** Returns the known load of all engines of the model. */
  readonly readLoad: () => {
    readonly freeSlots: number;
    readonly running: number;
  };
}

/** How to send the request. */
interface SlotSender {
  readonly findTarget: (full: readonly string[]) => GatewayTarget | undefined;
  readonly send: (target: GatewayTarget) => void;
}

/** Tracks the wait of one request. */
export class SlotWait {
  private kind: 'none' | 'slot' | 'deferred' | 'repair' = 'none';
  private until = -Infinity;
  /** An engine refused it after its turn had come, so that it keeps its place. */
  private hasReturned = false;
  private queued: QueuedRequest | undefined;
  private estimate: WaitEstimate | undefined;

  private constructor(private readonly options: SlotWaitOptions) {}

  /**
   * Creates a wait that has not started.
   *
   * @example
   * const wait = SlotWait.create(options);
   */
  static create(options: SlotWaitOptions): SlotWait {
    options.queue?.recordArrival(options.urgency);
    return new SlotWait(options);
  }

  get isWaiting(): boolean {
    return this.kind !== 'none';
  }

  /** True while it is in the queue. */
  get isInQueue(): boolean {
    return this.kind === 'slot';
  }

  /** True if requests of its kind wait in a queue for a slot. */
  get hasQueue(): boolean {
    return this.options.queue !== undefined;
  }

  /**
   * Joins the queue, and sends the requests that slots are free for, in their
   * order. A request that was in the queue before returns to its place.
   *
   * @returns false if it was not sent, and would not begin before its caller
   * disconnects
   */
  joinQueue(sender: SlotSender): boolean {
    const {queue, readLoad, clock, urgency} = this.options;
    if (!queue) {
      return false;
    }
    const isReturning = this.queued !== undefined;
    this.hasReturned ||= isReturning;
    const queued = this.queued ?? this.createQueuedRequest(sender);
    this.queued = queued;
    this.estimate = isReturning
      ? this.estimate
      : queue.estimate(queued, readLoad);
    if (!isReturning && this.estimate?.mayBegin === false) {
      return false;
    }
    this.kind = 'slot';
    this.until = queued.expiresAt;
    queue.join(queued);
    queue.serve(readLoad);
    const mayStay = isReturning || this.estimate?.canWait;
    if (this.isInQueue && !mayStay) {
      this.end();
      if (clock.now() <= queued.latestStartAt) {
        queue.shortage.recordTurnedAway(urgency, clock.now());
      }
      return false;
    }
    return true;
  }

  /** Waits outside the queue until the request may be sent again; it keeps its place by its arrival. */
  defer(): void {
    this.kind = 'deferred';
    this.until = this.queued?.expiresAt ?? this.objectiveAt;
  }

  /**
   * Starts to wait for a replacement group, for as long as the caller tolerates
   * a pause.
   *
   * @param passedAt when the caller last received something, or arrived
   * @returns false if the caller would leave before then, judged by the last
   * repair
   */
  waitForRepair(passedAt: number): boolean {
    const {clock, maxPauseMs, findRepairMs} = this.options;
    const leavesAt = passedAt + maxPauseMs - DELIVERY_MS;
    const repairedAt = Math.max(clock.now(), passedAt + findRepairMs());
    if (repairedAt >= leavesAt) {
      return false;
    }
    this.end();
    this.kind = 'repair';
    this.until = leavesAt;
    return true;
  }

  /** True if the request may wait any longer. */
  canKeepWaiting(now: number): boolean {
    return this.isWaiting && now < this.until && !this.isOvertaken;
  }

  /** True once it can only be late while others that could be in time are turned away. */
  private get isOvertaken(): boolean {
    const {queue, readLoad} = this.options;
    return (
      this.isInQueue &&
      !this.hasReturned &&
      this.queued !== undefined &&
      queue !== undefined &&
      queue.isOvertaken(this.queued, readLoad)
    );
  }

  /** Serves the queue, once for all requests that are checked at this time. */
  check(now: number): void {
    const {queue, readLoad} = this.options;
    queue?.serveOnce(now, readLoad);
  }

  /**
   * Returns the delay after which the caller of a refused request should retry,
   * in milliseconds.
   */
  computeRetryAfterMs(): number {
    const {queue, urgency, clock, deadlineAt, maxRetryAfterFraction} =
      this.options;
    const leftMs = deadlineAt - clock.now();
    const {inMs: availableInMs, isOnlyOption} = this.options.reserveRetry();
    return computeRetryAfterMs({
      // Slots at engines that accept nothing now are no use.
      queue: isOnlyOption ? undefined : queue,
      urgency,
      leftMs,
      maxRetryAfterFraction,
      availableInMs,
    });
  }

  /** Appends the inputs of the estimate to the reason of a refusal. */
  explain(reason: string): string {
    if (!this.estimate) {
      return reason;
    }
    const {ahead, waitMs, running, slotMs} = this.estimate;
    const expected =
      waitMs === Infinity ? 'none is expected' : `${Math.round(waitMs)} ms`;
    return (
      `${reason}; urgency ${this.options.urgency}, ${ahead} ahead, ` +
      `a slot in: ${expected}, by ${running} running here for ${Math.round(slotMs)} ms each`
    );
  }

  /** Records that the request is sent to this backend server. */
  recordSent(target: GatewayTarget): void {
    this.options.queue?.recordStart(this, createTargetKey(target));
  }

  /**
   * Records the end of an attempt, and sends those that wait for its slot.
   *
   * @param events number of events of the answer; undefined if they came from several attempts
   */
  recordSlotFreed(
    {kind, isFull = false}: Pick<AttemptOutcome, 'kind' | 'isFull'>,
    events: number | undefined,
  ): void {
    const {queue, readLoad, urgency} = this.options;
    if (kind === 'not-run') {
      queue?.recordNotRun(this, urgency, isFull);
      return;
    }
    queue?.recordEnd(this, kind === 'whole' ? events : undefined);
    queue?.serve(readLoad);
  }

  end(): void {
    if (this.queued) {
      this.options.queue?.leave(this.queued);
    }
    this.kind = 'none';
  }

  private createQueuedRequest(sender: SlotSender): QueuedRequest {
    const {urgency, workspace, workMs} = this.options;
    return {
      urgency,
      workspace,
      workMs,
      latestStartAt: this.latestStartAt,
      expiresAt: this.expiresAt,
      findTarget: sender.findTarget,
      send: target => {
        this.kind = 'none';
        sender.send(target);
      },
    };
  }

  /**
   * When the request must be sent for its first event to meet the objective, by
   * recent times.
   */
  private get latestStartAt(): number {
    const {forecast, work, waitedMs = 0} = this.options;
    const firstEventMs = forecast.findAverageFirstEventMs(work);
    return this.objectiveAt - waitedMs - firstEventMs;
  }

  /** When it must be sent for its first event to arrive before its caller disconnects. */
  private get expiresAt(): number {
    const {forecast, work, arrivedAt, deadlineAt} = this.options;
    const {isStream, maxPauseMs} = this.options;
    const leavesAt = Math.min(deadlineAt, arrivedAt + maxPauseMs);
    const firstEventMs = forecast.findAverageFirstEventMs(work);
    return isStream ? leavesAt - firstEventMs - DELIVERY_MS : this.objectiveAt;
  }

  private get objectiveAt(): number {
    const {objectiveMs, arrivedAt} = this.options;
    return arrivedAt + objectiveMs;
  }
}
