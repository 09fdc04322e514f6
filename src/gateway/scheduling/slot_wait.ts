/**
 * Decides how long a request may wait: for a free engine slot, or for a
 * replacement group to continue its stream.
 */
import {Clock} from '../../common/clock';
import {computeRetryAfterMs} from './compute_retry_after_ms';
import {SlotForecast} from './slot_forecast';

/** Reserved for the delivery of an event to the caller, in milliseconds. */
const DELIVERY_MS = 100;

/** The request and its time limits. */
interface SlotWaitOptions {
  readonly forecast: SlotForecast;
  readonly clock: Clock;
  /** Key of the queue for a slot; undefined for services without slots. */
  readonly queue: string | undefined;
  /** Key under which the forecast keeps the request's time to the first event. */
  readonly work: string;
  readonly objectiveMs: number;
  /** On this process's monotonic clock. */
  readonly arrivedAt: number;
  /** When the request times out, on the same clock. */
  readonly deadlineAt: number;
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
}

/** Tracks the wait of one request. */
export class SlotWait {
  private until: number | undefined;
  private isForSlot = false;

  private constructor(private readonly options: SlotWaitOptions) {}

  /**
   * Creates a wait that has not started.
   *
   * @example
   * const wait = SlotWait.create({forecast, clock, queue, work, objectiveMs, arrivedAt, deadlineAt, maxRetryAfterFraction, maxPauseMs, reserveRetry, findRepairMs});
   */
  static create(options: SlotWaitOptions): SlotWait {
    if (options.queue !== undefined) {
      options.forecast.recordArrival(options.queue);
    }
    return new SlotWait(options);
  }

  get isWaiting(): boolean {
    return this.until !== undefined;
  }

  /** True if no request is ahead in the queue. */
  get isFirstInQueue(): boolean {
    const {forecast, queue} = this.options;
    return queue === undefined || forecast.countAhead(queue, this) === 0;
  }

  /**
   * True if a slot is expected early enough to meet the latency objective, by
   * the rate at which slots are freed here and the requests ahead in the queue.
   * Otherwise waiting would only keep the caller from retrying. If engines are
   * so slow that even an immediate start would miss the objective, a late
   * response is still better than none: then only the first request in the
   * queue waits for the next slot.
   */
  get canStartInTime(): boolean {
    const {forecast, clock, queue, work, objectiveMs} = this.options;
    if (queue === undefined) {
      return false;
    }
    const startsAt = clock.now() + forecast.estimateWaitMs(queue, this);
    const isLateAnyway = forecast.findAverageFirstEventMs(work) > objectiveMs;
    const latestAt =
      isLateAnyway && this.isFirstInQueue
        ? this.objectiveAt
        : this.latestStartAt;
    return startsAt <= latestAt;
  }

  /** Starts to wait in the queue for a slot. */
  joinQueue(): void {
    const {forecast, queue} = this.options;
    if (queue !== undefined) {
      forecast.joinQueue(queue, this);
      this.isForSlot = true;
      this.until = this.objectiveAt;
    }
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
    this.isForSlot = false;
    this.until = leavesAt;
    return true;
  }

  /** True if the request may wait any longer. */
  canKeepWaiting(now: number): boolean {
    const isInTime = this.until !== undefined && now < this.until;
    return isInTime && (!this.isForSlot || this.canStartInTime);
  }

  /**
   * Returns the delay after which the caller of a refused request should retry,
   * in milliseconds.
   */
  computeRetryAfterMs(): number {
    const {forecast, queue, clock, deadlineAt, maxRetryAfterFraction} =
      this.options;
    const leftMs = deadlineAt - clock.now();
    const {inMs: availableInMs, isOnlyOption} = this.options.reserveRetry();
    return computeRetryAfterMs({
      forecast,
      // Slots at engines that accept nothing now are no use.
      queue: isOnlyOption ? undefined : queue,
      leftMs,
      maxRetryAfterFraction,
      availableInMs,
    });
  }

  /** Records that the engine has finished the request. */
  recordSlotFreed(): void {
    const {forecast, queue} = this.options;
    if (queue !== undefined) {
      forecast.recordSlotFreed(queue);
    }
  }

  end(): void {
    const {forecast, queue} = this.options;
    if (queue !== undefined) {
      forecast.leaveQueue(queue, this);
    }
    this.until = undefined;
  }

  /**
   * When the request must be sent for its first event to meet the objective, by
   * recent times.
   */
  private get latestStartAt(): number {
    const {forecast, work} = this.options;
    return this.objectiveAt - forecast.findAverageFirstEventMs(work);
  }

  private get objectiveAt(): number {
    const {objectiveMs, arrivedAt} = this.options;
    return arrivedAt + objectiveMs;
  }
}
