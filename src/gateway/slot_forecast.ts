/** How soon a place at the engines of a model falls free, and how long their work takes. */
import {Clock} from '../common/clock';
import {SlidingMaximum} from './sliding_maximum';

/** Arrivals that are remembered: several times the ends that they are compared with. */
const ARRIVALS_COUNTED = 128;
/** Ends that the rate is taken from: enough to be steady, few enough to follow the load. */
const ENDS_COUNTED = 16;
/** Ends before that say nothing about now, in milliseconds. */
const ENDS_COUNT_FOR_MS = 3_000;
/** Weight of the newest time in the average; older ones fade over some ten requests. */
const NEWEST_WEIGHT = 0.1;

/** What this gateway has measured. */
export class SlotForecast {
  /** When requests that held a place ended, by line, oldest first. */
  private readonly ends = new Map<string, number[]>();
  /** From sending to the first event, by kind of work, averaged. */
  private readonly workMs = new Map<string, number>();
  /** When requests came for a place, by line, oldest first. */
  private readonly arrivals = new Map<string, number[]>();
  /** When refused callers come back, by line, as they were told. */
  private readonly returns = new Map<string, number[]>();
  /** Requests that wait for a place, by line, in order of their arrival. */
  private readonly lines = new Map<string, Set<object>>();

  private readonly longest: SlidingMaximum;

  private constructor(private readonly clock: Clock) {
    this.longest = SlidingMaximum.create(clock);
  }

  /**
   * Creates a forecast that knows nothing.
   *
   * @example
   * const forecast = PlaceForecast.create(clock);
   */
  static create(clock: Clock): SlotForecast {
    return new SlotForecast(clock);
  }

  /** A request gave its place at the engines of a line free. */
  recordSlotFreed(line: string): void {
    const ends = this.ends.get(line) ?? [];
    ends.push(this.clock.now());
    this.ends.set(line, ends.slice(-ENDS_COUNTED));
  }

  /** A request came for a place at the engines of a line. */
  recordArrival(line: string): void {
    const now = this.clock.now();
    const recent = (this.arrivals.get(line) ?? []).filter(
      at => now - at < ENDS_COUNT_FOR_MS,
    );
    this.arrivals.set(line, [...recent, now].slice(-ARRIVALS_COUNTED));
  }

  /** A refused caller was told to come back in so many milliseconds. */
  recordRetryAfter(line: string, inMs: number): void {
    const due = this.listReturns(line);
    this.returns.set(line, [...due, this.clock.now() + inMs]);
  }

  /** Notes how long an engine took for its first event, in milliseconds. */
  recordFirstEventMs(work: string, tookMs: number): void {
    this.longest.record(work, tookMs);
    const known = this.workMs.get(work) ?? tookMs;
    this.workMs.set(work, known + (tookMs - known) * NEWEST_WEIGHT);
  }

  /** How long the first event of such work takes once it is sent; 0 when none was seen. */
  findAverageFirstEventMs(work: string): number {
    return this.workMs.get(work) ?? 0;
  }

  /** The longest that a first event of such work took lately; 0 when none was seen. */
  findLongestFirstEventMs(work: string): number {
    return this.longest.find(work);
  }

  /** Puts a request at the end of a line. */
  joinQueue(line: string, request: object): void {
    const waiting = this.lines.get(line) ?? new Set();
    waiting.add(request);
    this.lines.set(line, waiting);
  }

  leaveQueue(line: string, request: object): void {
    this.lines.get(line)?.delete(request);
  }

  /** Requests that wait before this one; all, for one that does not wait yet. */
  countAhead(line: string, request: object): number {
    const waiting = [...(this.lines.get(line) ?? [])];
    const at = waiting.indexOf(request);
    return at < 0 ? waiting.length : at;
  }

  /**
   * When a request gets a place, if those before it take one each; places that
   * other gateways give free go to their own requests first.
   *
   * @returns milliseconds; Infinity when nothing ended here lately
   */
  estimateWaitMs(line: string, request: object): number {
    const now = this.clock.now();
    const recent = this.listRecentEnds(line, now);
    if (recent.length === 0) {
      return Infinity;
    }
    // Up to now and not to the newest end, so that a stop shows at once.
    const betweenEndsMs = (now - recent[0]) / recent.length;
    return betweenEndsMs * (this.countAhead(line, request) + 1);
  }

  /**
   * When a refused caller finds a place: once those before it, the ones told
   * earlier to come back among them, have had theirs, at the pace at which more
   * places fall free than requests come.
   *
   * @returns milliseconds; Infinity while more come than go, or nothing ended lately
   */
  estimateRetryMs(line: string): number {
    const now = this.clock.now();
    const ends = this.listRecentEnds(line, now);
    const [since] = ends;
    const came = (this.arrivals.get(line) ?? []).filter(at => at >= since);
    const spare = ends.length - came.length;
    if (spare <= 0) {
      return Infinity;
    }
    const betweenSparesMs = (now - since) / spare;
    const waiting = this.lines.get(line)?.size ?? 0;
    const before = waiting + this.listReturns(line).length;
    return betweenSparesMs * (before + 1);
  }

  private listReturns(line: string): number[] {
    const now = this.clock.now();
    return (this.returns.get(line) ?? []).filter(at => at > now);
  }

  private listRecentEnds(line: string, now: number): number[] {
    return (this.ends.get(line) ?? []).filter(
      at => now - at < ENDS_COUNT_FOR_MS,
    );
  }
}
