/** Backend servers that asked this gateway to back off. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';

/**
 * A longer backoff is taken for a mistake; a backend server that still needs it
 * will ask again.
 */
const MAX_BACKOFF_MS = 300_000;
/**
 * Gateways that were refused together resume spread over this share of the
 * backoff, for at most MAX_SPREAD_MS.
 */
const SPREAD_FRACTION = 0.25;
const MAX_SPREAD_MS = 1_000;
/**
 * A backend server is fully trusted again when it may have more than this
 * number of unanswered requests.
 */
const MAX_SLOW_START_REQUESTS = 16;
/**
 * Retry delay for callers while the backend server is probed after its backoff,
 * in milliseconds.
 */
const SLOW_START_RETRY_MS = 200;

/** The backoff of one backend server, and the slow start that follows it. */
interface Backoff {
  readonly askedAt: number;
  readonly until: number;
  /**
   * Limit on unanswered requests after the backoff; grows by one with each
   * accepted request.
   */
  allowed: number;
  unanswered: number;
}

/** Dependencies of the backoffs. */
interface BackendBackoffsOptions {
  readonly clock: Clock;
  readonly events: EventRing;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Shared by all requests of a gateway. */
export class BackendBackoffs {
  private readonly backoffs = new Map<string, Backoff>();

  private constructor(private readonly options: BackendBackoffsOptions) {}

  /**
   * Creates a table without backoffs.
   *
   * @example
   * const backoffs = BackendBackoffs.create({clock, events, random: Math.random});
   */
  static create(options: BackendBackoffsOptions): BackendBackoffs {
    return new BackendBackoffs(options);
  }

  /** Records a refusal that asks for a backoff. */
  record(incarnation: string, restMs: number): void {
    const {clock, events, random} = this.options;
    const now = clock.now();
    const known = this.backoffs.get(incarnation);
    const isBackingOff = known !== undefined && now < known.until;
    const boundedMs = Math.min(restMs, MAX_BACKOFF_MS);
    const spreadMs = Math.min(boundedMs * SPREAD_FRACTION, MAX_SPREAD_MS);
    const until = now + boundedMs + spreadMs * random();
    this.backoffs.set(incarnation, {
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
        reason: 'it refused a request and asked this gateway to back off',
        details: {restMs, heldMs: Math.round(until - now)},
      });
    }
  }

  isBackingOff(incarnation: string): boolean {
    const until = this.backoffs.get(incarnation)?.until ?? -Infinity;
    return this.options.clock.now() < until;
  }

  /**
   * False during the backoff, and when the slow start after it allows no
   * further request.
   */
  isAvailable(incarnation: string): boolean {
    const backoff = this.backoffs.get(incarnation);
    const isOver = !this.isBackingOff(incarnation);
    return !backoff || (isOver && backoff.unanswered < backoff.allowed);
  }

  /**
   * Records a request that is sent to the backend server.
   *
   * @returns a function to call once with whether the backend server accepted
   * the request; undefined if there is no backoff
   */
  beginRequest(
    incarnation: string,
  ): ((isAccepted: boolean) => void) | undefined {
    const backoff = this.backoffs.get(incarnation);
    if (!backoff) {
      return undefined;
    }
    backoff.unanswered += 1;
    let isOver = false;
    return isAccepted => {
      if (!isOver) {
        isOver = true;
        this.end(incarnation, isAccepted);
      }
    };
  }

  /**
   * Returns the time until a request may be sent again, in milliseconds;
   * undefined if one may be sent now.
   */
  findAvailableInMs(incarnation: string): number | undefined {
    const backoff = this.backoffs.get(incarnation);
    if (!backoff || this.isAvailable(incarnation)) {
      return undefined;
    }
    const leftMs = backoff.until - this.options.clock.now();
    return leftMs > 0 ? leftMs : SLOW_START_RETRY_MS;
  }

  /**
   * Removes entries whose backoff is over for backend servers that the control
   * plane no longer lists.
   */
  expire(isKnown: (incarnation: string) => boolean): void {
    for (const incarnation of this.backoffs.keys()) {
      if (!this.isBackingOff(incarnation) && !isKnown(incarnation)) {
        this.backoffs.delete(incarnation);
      }
    }
  }

  private end(incarnation: string, isAccepted: boolean): void {
    const backoff = this.backoffs.get(incarnation);
    if (!backoff) {
      return;
    }
    backoff.unanswered = Math.max(0, backoff.unanswered - 1);
    if (!isAccepted || this.isBackingOff(incarnation)) {
      return;
    }
    backoff.allowed += 1;
    if (backoff.allowed > MAX_SLOW_START_REQUESTS) {
      this.backoffs.delete(incarnation);
      this.options.events.record({
        type: 'rest-over',
        subject: 'host',
        id: incarnation,
        reason: 'it accepts requests again after its backoff',
        details: {
          ageMs: Math.round(this.options.clock.now() - backoff.askedAt),
        },
      });
    }
  }
}
