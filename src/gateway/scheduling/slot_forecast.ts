/**
 * Estimates when engine slots become free and how long engines take for the
 * first event.
 */
import {Clock} from '../../common/clock';
import {SlidingMaximum} from './sliding_maximum';

/**
 * Arrivals kept per queue: several times the number of freed slots that they
 * are compared with.
 */
const MAX_ARRIVALS = 128;
/**
 * Freed slots that the rate is computed from: enough for a steady rate, few
 * enough to follow the load.
 */
const MAX_FREED = 16;
/** Older entries are ignored, in milliseconds. */
const WINDOW_MS = 3_000;
/**
 * Weight of the newest sample in the moving average; older ones fade over about
 * ten requests.
 */
const NEWEST_WEIGHT = 0.1;

/** Forecasts from the measurements of this gateway. */
export class SlotForecast {
  /** When slots were freed, by queue, oldest first. */
  private readonly freedAt = new Map<string, number[]>();
  /** Average time from sending a request to its first event, by kind of work. */
  private readonly firstEventMs = new Map<string, number>();
  /** When requests for a slot arrived, by queue, oldest first. */
  private readonly arrivals = new Map<string, number[]>();
  /** When refused callers are due to retry, by queue. */
  private readonly retriesAt = new Map<string, number[]>();
  /** Requests that wait for a slot, by queue, in order of arrival. */
  private readonly queues = new Map<string, Set<object>>();

  private readonly longest: SlidingMaximum;

  private constructor(private readonly clock: Clock) {
    this.longest = SlidingMaximum.create(clock);
  }

  /**
   * Creates a forecast without measurements.
   *
   * @example
   * const forecast = SlotForecast.create(clock);
   */
  static create(clock: Clock): SlotForecast {
    return new SlotForecast(clock);
  }

  /** Records that a request freed its slot. */
  recordSlotFreed(queue: string): void {
    const freedAt = this.freedAt.get(queue) ?? [];
    freedAt.push(this.clock.now());
    this.freedAt.set(queue, freedAt.slice(-MAX_FREED));
  }

  /** Records a request for a slot. */
  recordArrival(queue: string): void {
    const now = this.clock.now();
    const recent = (this.arrivals.get(queue) ?? []).filter(
      at => now - at < WINDOW_MS,
    );
    this.arrivals.set(queue, [...recent, now].slice(-MAX_ARRIVALS));
  }

  /** Records that a refused caller was told to retry after this delay. */
  recordRetryAfter(queue: string, inMs: number): void {
    const due = this.listRetries(queue);
    this.retriesAt.set(queue, [...due, this.clock.now() + inMs]);
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

  /** Appends a request to a queue. */
  joinQueue(queue: string, request: object): void {
    const waiting = this.queues.get(queue) ?? new Set();
    waiting.add(request);
    this.queues.set(queue, waiting);
  }

  leaveQueue(queue: string, request: object): void {
    this.queues.get(queue)?.delete(request);
  }

  /**
   * Returns the number of requests ahead of this one; all of them if it isn't
   * queued.
   */
  countAhead(queue: string, request: object): number {
    const waiting = [...(this.queues.get(queue) ?? [])];
    const at = waiting.indexOf(request);
    return at < 0 ? waiting.length : at;
  }

  /**
   * Estimates when a request gets a slot if those ahead take one each; slots
   * that other gateways free go to their own requests first.
   *
   * @returns milliseconds; Infinity if no slot was freed here recently
   */
  estimateWaitMs(queue: string, request: object): number {
    const now = this.clock.now();
    const recent = this.listRecentlyFreed(queue, now);
    if (recent.length === 0) {
      return Infinity;
    }
    // Measured up to now rather than to the newest entry, so that a standstill
    // shows at once.
    const freedIntervalMs = (now - recent[0]) / recent.length;
    return freedIntervalMs * (this.countAhead(queue, request) + 1);
  }

  /**
   * Estimates when a refused caller finds a slot: after the queued requests and
   * the retries promised earlier, at the rate at which freed slots exceed
   * arrivals.
   *
   * @returns milliseconds; Infinity while arrivals exceed freed slots, or if
   * none was freed recently
   */
  estimateRetryMs(queue: string): number {
    const now = this.clock.now();
    const freedAt = this.listRecentlyFreed(queue, now);
    const [since] = freedAt;
    const arrived = (this.arrivals.get(queue) ?? []).filter(at => at >= since);
    const spare = freedAt.length - arrived.length;
    if (spare <= 0) {
      return Infinity;
    }
    const spareIntervalMs = (now - since) / spare;
    const waiting = this.queues.get(queue)?.size ?? 0;
    const before = waiting + this.listRetries(queue).length;
    return spareIntervalMs * (before + 1);
  }

  private listRetries(queue: string): number[] {
    const now = this.clock.now();
    return (this.retriesAt.get(queue) ?? []).filter(at => at > now);
  }

  private listRecentlyFreed(queue: string, now: number): number[] {
    return (this.freedAt.get(queue) ?? []).filter(at => now - at < WINDOW_MS);
  }
}
