/** Backend servers that asked this gateway to send nothing for a while. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';

/** A longer rest is a slip of the pen: a backend server that still needs it will say so. */
const LONGEST_REST_MS = 300_000;

/** One backend server's wish. */
interface Rest {
  readonly askedAt: number;
  readonly until: number;
}

/** What the rests work with. */
interface BackendRestsOptions {
  readonly clock: Clock;
  readonly events: EventRing;
}

/** One for all requests of a gateway. */
export class BackendRests {
  private readonly rests = new Map<string, Rest>();

  private constructor(private readonly options: BackendRestsOptions) {}

  /**
   * Creates a table without rests.
   *
   * @example
   * const rests = BackendRests.create({clock, events});
   */
  static create(options: BackendRestsOptions): BackendRests {
    return new BackendRests(options);
  }

  /** Takes a refusal that asks for rest. */
  record(incarnation: string, restMs: number): void {
    const now = this.options.clock.now();
    const known = this.rests.get(incarnation);
    const isNew = !known || known.until <= now;
    const until = now + Math.min(restMs, LONGEST_REST_MS);
    this.rests.set(incarnation, {
      askedAt: isNew ? now : known.askedAt,
      until: Math.max(until, known?.until ?? -Infinity),
    });
    if (isNew) {
      this.options.events.record({
        type: 'rest-asked',
        subject: 'host',
        id: incarnation,
        reason: 'it turned a request away and asks this gateway for rest',
        details: {restMs},
      });
    }
  }
}
