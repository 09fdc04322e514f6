/** Backend servers that asked this gateway to send nothing for a while. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';

/** A longer one is taken for a mistake: a backend server that still needs rest will say so. */
const LONGEST_REST_MS = 300_000;
/** Gateways that were turned away together come back over this part of the rest, and of this at most. */
const SPREAD_PART = 0.25;
const LONGEST_SPREAD_MS = 1_000;
/** Requests without an answer after which a backend server that has rested counts as any other. */
const FULL_REQUESTS = 16;
/** When a caller comes back for a backend server that is being tried, in milliseconds. */
const TRIED_RETURN_MS = 200;

/** One backend server's wish, and how far it is trusted again. */
interface Rest {
  readonly askedAt: number;
  readonly until: number;
  /** Requests that may be without an answer once it has rested; one more after each answer. */
  allowed: number;
  unanswered: number;
}

/** What the rests work with. */
interface BackendRestsOptions {
  readonly clock: Clock;
  readonly events: EventRing;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** One for all requests of a gateway. */
export class BackendBackoffs {
  private readonly rests = new Map<string, Rest>();

  private constructor(private readonly options: BackendRestsOptions) {}

  /**
   * Creates a table without rests.
   *
   * @example
   * const rests = BackendRests.create({clock, events, random: Math.random});
   */
  static create(options: BackendRestsOptions): BackendBackoffs {
    return new BackendBackoffs(options);
  }

  /** Takes a refusal that asks for rest. */
  record(incarnation: string, restMs: number): void {
    const {clock, events, random} = this.options;
    const now = clock.now();
    const known = this.rests.get(incarnation);
    const isBackingOff = known !== undefined && now < known.until;
    const boundedMs = Math.min(restMs, LONGEST_REST_MS);
    const spreadMs = Math.min(boundedMs * SPREAD_PART, LONGEST_SPREAD_MS);
    const until = now + boundedMs + spreadMs * random();
    this.rests.set(incarnation, {
      askedAt: isBackingOff ? known.askedAt : now,
      until: Math.max(until, known?.until ?? -Infinity),
      allowed: 1,
      unanswered: known?.unanswered ?? 0,
    });
    if (!isBackingOff) {
      events.record({
        type: 'rest-asked',
        subject: 'host',
        id: incarnation,
        reason: 'it turned a request away and asks this gateway for rest',
        details: {restMs, heldMs: Math.round(until - now)},
      });
    }
  }

  isResting(incarnation: string): boolean {
    const until = this.rests.get(incarnation)?.until ?? -Infinity;
    return this.options.clock.now() < until;
  }

  /** False while it rests, or is still being tried after that. */
  isAvailable(incarnation: string): boolean {
    const rest = this.rests.get(incarnation);
    const hasRested = !this.isResting(incarnation);
    return !rest || (hasRested && rest.unanswered < rest.allowed);
  }

  /**
   * Notes a request that is sent there.
   *
   * @returns to be told once whether the backend server took it; undefined where nothing is held against it
   */
  beginRequest(incarnation: string): ((isTaken: boolean) => void) | undefined {
    const rest = this.rests.get(incarnation);
    if (!rest) {
      return undefined;
    }
    rest.unanswered += 1;
    let isOver = false;
    return isTaken => {
      if (!isOver) {
        isOver = true;
        this.end(incarnation, isTaken);
      }
    };
  }

  /** Until it may be sent to again, in milliseconds; undefined where nothing is held against it. */
  findAvailableInMs(incarnation: string): number | undefined {
    const rest = this.rests.get(incarnation);
    if (!rest || this.isAvailable(incarnation)) {
      return undefined;
    }
    const leftMs = rest.until - this.options.clock.now();
    return leftMs > 0 ? leftMs : TRIED_RETURN_MS;
  }

  /** Forgets backend servers that have rested and that control no longer tells. */
  expire(isKnown: (incarnation: string) => boolean): void {
    for (const incarnation of this.rests.keys()) {
      if (!this.isResting(incarnation) && !isKnown(incarnation)) {
        this.rests.delete(incarnation);
      }
    }
  }

  private end(incarnation: string, isTaken: boolean): void {
    const rest = this.rests.get(incarnation);
    if (!rest) {
      return;
    }
    rest.unanswered = Math.max(0, rest.unanswered - 1);
    if (!isTaken || this.isResting(incarnation)) {
      return;
    }
    rest.allowed += 1;
    if (rest.allowed > FULL_REQUESTS) {
      this.rests.delete(incarnation);
      this.options.events.record({
        type: 'rest-over',
        subject: 'host',
        id: incarnation,
        reason: 'it has rested and answers again',
        details: {
          ageMs: Math.round(this.options.clock.now() - rest.askedAt),
        },
      });
    }
  }
}
