/** Backend servers that say in their answers that they will end. */
import {EventRing} from '../common/event_ring';
import {systemTimers} from '../common/system_timers';
import {waitFor} from '../common/wait_for';

/** Starts that are remembered: none comes back, and only the newest are still told by control. */
const MAX_KNOWN = 1_024;
/** In one message to control. */
const MAX_NAMES = 64;
/** Between two tries to tell control, in milliseconds. */
const RETRY_MS = 200;

/** What the departures work with. */
interface BackendDeparturesOptions {
  readonly events: EventRing;
  /** Resolves once control will not forget it. */
  readonly reportLeaving: (incarnations: string[]) => Promise<unknown>;
}

/** One for all requests of a gateway. */
export class BackendShutdowns {
  private readonly leaving = new Set<string>();
  private readonly untold = new Set<string>();
  private isReporting = false;
  private isClosed = false;

  private constructor(private readonly options: BackendDeparturesOptions) {}

  /**
   * Creates an empty list.
   *
   * @example
   * const departures = BackendDepartures.create({events, reportLeaving});
   */
  static create(options: BackendDeparturesOptions): BackendShutdowns {
    return new BackendShutdowns(options);
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
    this.untold.add(incarnation);
    void this.report();
  }

  /** True for one that gets nothing new, whatever control tells of it. */
  has(incarnation: string): boolean {
    return this.leaving.has(incarnation);
  }

  /** Tells control nothing any more. */
  close(): void {
    this.isClosed = true;
  }

  private async report(): Promise<void> {
    if (this.isReporting) {
      return;
    }
    this.isReporting = true;
    while (this.untold.size > 0 && !this.isClosed) {
      const names = [...this.untold].slice(0, MAX_NAMES);
      try {
        await this.options.reportLeaving(names);
        names.forEach(name => this.untold.delete(name));
      } catch {
        // The client has written who did not answer; the next leader hears it as well.
        await waitFor(systemTimers, RETRY_MS);
      }
    }
    this.isReporting = false;
  }
}
