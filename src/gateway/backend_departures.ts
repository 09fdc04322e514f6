/** Backend servers that say in their answers that they will end. */
import {EventRing} from '../common/event_ring';

/** Starts that are remembered: none comes back, and only the newest are still told by control. */
const MAX_KNOWN = 1_024;

/** What the departures work with. */
interface BackendDeparturesOptions {
  readonly events: EventRing;
}

/** One for all requests of a gateway. */
export class BackendDepartures {
  private readonly leaving = new Set<string>();

  private constructor(private readonly options: BackendDeparturesOptions) {}

  /**
   * Creates an empty list.
   *
   * @example
   * const departures = BackendDepartures.create({events});
   */
  static create(options: BackendDeparturesOptions): BackendDepartures {
    return new BackendDepartures(options);
  }

  /** Takes an answer that says so. */
  record(incarnation: string): void {
    if (this.leaving.has(incarnation)) {
      return;
    }
    this.leaving.add(incarnation);
    const [oldest] = this.leaving;
    if (this.leaving.size > MAX_KNOWN) {
      this.leaving.delete(oldest);
    }
    this.options.events.record({
      type: 'backend-leaving',
      subject: 'host',
      id: incarnation,
      reason: 'its answer says that it leaves',
    });
  }
}
