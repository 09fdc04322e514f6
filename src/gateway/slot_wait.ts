/** One request's wait: for a place at an engine, or for somebody who goes on with what has begun. */
import {Clock} from '../common/clock';
import {computeRetryAfterMs} from './compute_retry_after_ms';
import {SlotForecast} from './slot_forecast';

/** Left for an event on its way to a caller, in milliseconds. */
const PASS_ON_MS = 100;

/** Whose wait it is. */
interface PlaceWaitOptions {
  readonly forecast: SlotForecast;
  readonly clock: Clock;
  /** Where it waits for a place; undefined where nobody does. */
  readonly line: string | undefined;
  /** The work that its engine does, as the forecast names it. */
  readonly work: string;
  readonly objectiveMs: number;
  /** On this process's monotonic clock. */
  readonly arrivedAt: number;
  /** When the caller gives up, on the same clock. */
  readonly deadlineAt: number;
  /** Part of what is left of its time within which it comes back as it is told. */
  readonly maxRetryAfterFraction: number;
  /** How long the caller bears a pause, in milliseconds. */
  readonly maxPauseMs: number;
  /**
   * When a place falls free that backend servers keep back by their own word, in
   * milliseconds, and whether there is no other. It counts as told to a caller.
   */
  readonly reserveRetry: () => {
    readonly inMs: number;
    readonly isOnlyOption: boolean;
  };
  /** How long it took lately until a lost group of the model was replaced. */
  readonly findRepairMs: () => number;
}

/** Knows whether waiting is of use, and when it must end. */
export class SlotWait {
  private until: number | undefined;
  private isForPlace = false;

  private constructor(private readonly options: PlaceWaitOptions) {}

  /**
   * Creates a wait that has not begun.
   *
   * @example
   * const wait = PlaceWait.create({forecast, clock, line, work, objectiveMs, arrivedAt, deadlineAt, honouredPart, patienceMs, findRepairMs});
   */
  static create(options: PlaceWaitOptions): SlotWait {
    if (options.line !== undefined) {
      options.forecast.recordArrival(options.line);
    }
    return new SlotWait(options);
  }

  get isWaiting(): boolean {
    return this.until !== undefined;
  }

  /** Nobody waits for a place before this request. */
  get isFirstInQueue(): boolean {
    const {forecast, line} = this.options;
    return line === undefined || forecast.countAhead(line, this) === 0;
  }

  /**
   * By the pace at which places fall free here and those that wait before it, it
   * gets one early enough to be served in time; a wait without hope would only
   * keep its caller from coming back. Where engines are so busy that even a start
   * at once would be late, a late answer is still worth more than none: then the
   * first in line waits for the next place, and nobody behind it.
   */
  get canStartInTime(): boolean {
    const {forecast, clock, line, work, objectiveMs} = this.options;
    if (line === undefined) {
      return false;
    }
    const startsAt = clock.now() + forecast.estimateWaitMs(line, this);
    const isLateAnyway = forecast.findAverageFirstEventMs(work) > objectiveMs;
    const latestAt =
      isLateAnyway && this.isFirstInQueue
        ? this.objectiveAt
        : this.latestStartAt;
    return startsAt <= latestAt;
  }

  /** Begins to wait for a place, in line. */
  joinQueue(): void {
    const {forecast, line} = this.options;
    if (line !== undefined) {
      forecast.joinQueue(line, this);
      this.isForPlace = true;
      this.until = this.objectiveAt;
    }
  }

  /**
   * Begins to wait for a group that is formed anew, for as long as the caller
   * bears the pause.
   *
   * @param passedAt when the caller last got something, or came
   * @returns false where the caller is gone by then, if the last repair tells
   */
  waitForRepair(passedAt: number): boolean {
    const {clock, maxPauseMs: patienceMs, findRepairMs} = this.options;
    const leavesAt = passedAt + patienceMs - PASS_ON_MS;
    const readyAt = Math.max(clock.now(), passedAt + findRepairMs());
    if (readyAt >= leavesAt) {
      return false;
    }
    this.isForPlace = false;
    this.until = leavesAt;
    return true;
  }

  /** True when it may go on waiting. */
  canKeepWaiting(now: number): boolean {
    const isInTime = this.until !== undefined && now < this.until;
    return isInTime && (!this.isForPlace || this.canStartInTime);
  }

  /** When its caller should come again, refused now: milliseconds from now. */
  computeReturnMs(): number {
    const {
      forecast,
      line,
      clock,
      deadlineAt,
      maxRetryAfterFraction: honouredPart,
    } = this.options;
    const leftMs = deadlineAt - clock.now();
    const {inMs: openingMs, isOnlyOption: isOnlyWay} =
      this.options.reserveRetry();
    return computeRetryAfterMs({
      forecast,
      // Places that fall free at engines which take nothing now are no places.
      queue: isOnlyWay ? undefined : line,
      leftMs,
      maxRetryAfterFraction: honouredPart,
      availableInMs: openingMs,
    });
  }

  /** Its engine is done with it. */
  recordSlotFreed(): void {
    const {forecast, line} = this.options;
    if (line !== undefined) {
      forecast.recordSlotFreed(line);
    }
  }

  end(): void {
    const {forecast, line} = this.options;
    if (line !== undefined) {
      forecast.leaveQueue(line, this);
    }
    this.until = undefined;
  }

  /** Sent later, its first event would miss the objective, by how long it takes lately. */
  private get latestStartAt(): number {
    const {forecast, work} = this.options;
    return this.objectiveAt - forecast.findAverageFirstEventMs(work);
  }

  private get objectiveAt(): number {
    const {objectiveMs, arrivedAt} = this.options;
    return arrivedAt + objectiveMs;
  }
}
