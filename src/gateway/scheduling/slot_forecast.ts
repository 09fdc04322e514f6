/**
 * Measures how long engines take for the first event, and holds the queues for
 * their slots.
 */
import {Clock} from '../../common/clock';
import {AdmissionSource} from './admission_source';
import {SlidingMaximum} from './sliding_maximum';
import {SlotQueues} from './slot_queues';

/**
 * Weight of the newest sample in the moving average; older ones fade over about
 * ten requests.
 */
const NEWEST_WEIGHT = 0.1;

/** Forecasts from the measurements of this gateway. */
export class SlotForecast {
  /** Average time from sending a request to its first event, by kind of work. */
  private readonly firstEventMs = new Map<string, number>();
  private readonly longest: SlidingMaximum;
  /** The longest time that callers lately said they would wait, by kind of work. */
  private readonly patience: SlidingMaximum;

  private constructor(
    clock: Clock,
    readonly queues: SlotQueues,
  ) {
    this.longest = SlidingMaximum.create(clock);
    this.patience = SlidingMaximum.create(clock);
  }

  /**
   * Creates a forecast without measurements.
   *
   * @param admissions what the leader admits; without it each gateway decides by its own queue
   * @example
   * const forecast = SlotForecast.create(clock);
   */
  static create(clock: Clock, admissions?: AdmissionSource): SlotForecast {
    return new SlotForecast(clock, SlotQueues.create(clock, admissions));
  }

  /** Records the time that an engine took for its first event, in milliseconds. */
  recordFirstEventMs(work: string, tookMs: number): void {
    this.longest.record(work, tookMs);
    const known = this.firstEventMs.get(work) ?? tookMs;
    this.firstEventMs.set(work, known + (tookMs - known) * NEWEST_WEIGHT);
  }

  /**
   * Returns the average time to the first event for this kind of work; 0 if
   * there is no sample.
   */
  findAverageFirstEventMs(work: string): number {
    return this.firstEventMs.get(work) ?? 0;
  }

  /**
   * Returns the longest recent time to the first event for this kind of work; 0
   * if there is no sample.
   */
  findLongestFirstEventMs(work: string): number {
    return this.longest.find(work);
  }

  /**
   * Estimates how long a caller has waited before this attempt: callers whose first attempt
   * was refused have less time left than others ask with.
   *
   * @param statedMs the time that the caller says it will wait, at most the timeout of its
   * route; undefined if it does not say
   * @returns milliseconds; 0 for a first attempt
   */
  estimateWaitedMs(work: string, statedMs: number | undefined): number {
    if (statedMs === undefined) {
      return 0;
    }
    this.patience.record(work, statedMs);
    return this.patience.find(work) - statedMs;
  }
}
