/** The requests that wait for a slot of one model at one gateway, in the order in which they begin. */
import {UrgencyLevel} from './urgency_level';
import {WaitingRequest} from './waiting_request';

/**
 * A level that has begun nothing for this long begins one request before all
 * others, so that the least urgent level does not starve.
 */
const STARVATION_MS = 10_000;

interface LevelState<T extends WaitingRequest> {
  readonly urgency: number;
  readonly level: UrgencyLevel<T>;
  /** When a request of it first arrived after the last one that began; undefined if none did. */
  unservedSince?: number;
}

/**
 * Requests that can still meet their objective come before those that can only
 * be late; within both by urgency, fairly among workspaces, and by latest start.
 * A late request whose caller is about to disconnect comes first in its level.
 */
export class RequestQueue<T extends WaitingRequest> {
  private readonly byUrgency = new Map<number, LevelState<T>>();
  /** The most urgent first. */
  private levels: ReadonlyArray<LevelState<T>> = [];

  private constructor() {}

  /**
   * Creates an empty queue.
   *
   * @example
   * const queue = RequestQueue.create<WaitingRequest>();
   */
  static create<T extends WaitingRequest>(): RequestQueue<T> {
    return new RequestQueue<T>();
  }

  get size(): number {
    return this.countIn(Infinity, level => level.size);
  }

  add(request: T, now: number): void {
    const state = this.getLevel(request.urgency);
    state.unservedSince ??= now;
    state.level.add(request, now);
  }

  /** Removes a request that will not begin, or not yet. */
  remove(request: T): boolean {
    const state = this.byUrgency.get(request.urgency);
    return state?.level.remove(request) ?? false;
  }

  /** Removes a request that begins, and charges its workspace for it. */
  start(request: T): void {
    const state = this.getLevel(request.urgency);
    state.unservedSince = undefined;
    state.level.start(request);
  }

  /**
   * Returns the request that is to begin next.
   *
   * @param below considers only requests more urgent than this
   */
  findNext(now: number, below = Infinity): T | undefined {
    const levels = this.levels.filter(
      ({urgency, level}) => urgency < below && level.size > 0,
    );
    levels.forEach(({level}) => level.advance(now));
    const starved = levels.slice(1).find(state => isStarved(state, now));
    const ordered = starved ? [starved, ...levels] : levels;
    for (const {level} of ordered) {
      const isStarvedLevel = level === starved?.level;
      const first =
        level.findFirstInTime(now) ??
        (isStarvedLevel ? level.findFirstLate() : undefined);
      if (first) {
        return first;
      }
    }
    return levels
      .map(({level}) => level.findFirstLate())
      .find(first => first !== undefined);
  }

  /**
   * Estimates how many waiting requests begin before this one.
   *
   * @param isInTime counts only those that come before requests which meet
   * their objective; otherwise all of its urgency and more urgent ones
   */
  countAhead(request: T, isInTime: boolean, now: number): number {
    const {urgency} = request;
    this.levels.forEach(({level}) => level.advance(now));
    const before = this.countIn(urgency, level =>
      isInTime ? level.inTimeCount : level.size,
    );
    const own = this.byUrgency.get(urgency)?.level;
    return before + (own?.countAhead(request, isInTime, now) ?? 0);
  }

  /** Counts the waiting requests of a level. */
  countWaiting(urgency: number): number {
    return this.byUrgency.get(urgency)?.level.size ?? 0;
  }

  /** True if nothing of this urgency has begun for long, so that one request of it may wait whatever the estimate. */
  isStarved(urgency: number, now: number): boolean {
    const state = this.getLevel(urgency);
    state.unservedSince ??= now;
    return state.level.size === 0 && isStarved(state, now);
  }

  private countIn(
    below: number,
    read: (level: UrgencyLevel<T>) => number,
  ): number {
    return this.levels.reduce(
      (sum, {urgency, level}) => (urgency < below ? sum + read(level) : sum),
      0,
    );
  }

  private getLevel(urgency: number): LevelState<T> {
    const known = this.byUrgency.get(urgency);
    if (known) {
      return known;
    }
    const state = {urgency, level: UrgencyLevel.create<T>()};
    this.byUrgency.set(urgency, state);
    this.levels = [...this.levels, state].sort(compareUrgency);
    return state;
  }
}

function compareUrgency(a: {urgency: number}, b: {urgency: number}): number {
  return a.urgency - b.urgency;
}

function isStarved(
  {unservedSince = Infinity}: {unservedSince?: number},
  now: number,
): boolean {
  return now - unservedSince > STARVATION_MS;
}
