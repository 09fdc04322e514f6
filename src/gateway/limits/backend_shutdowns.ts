/** Backend servers that announced their shutdown in a response. */
import {EventRing} from '../../common/event_ring';
import {systemTimers} from '../../common/system_timers';
import {waitFor} from '../../common/wait_for';

/**
 * Incarnations to remember: none returns, and the control plane lists only the
 * newest.
 */
const MAX_KNOWN = 1_024;
/** Incarnations in one message to the control plane. */
const MAX_REPORTED = 64;
/** Delay between attempts to report to the control plane, in milliseconds. */
const RETRY_MS = 200;

/** Dependencies of the shutdowns. */
interface BackendShutdownsOptions {
  readonly events: EventRing;
  /** Resolves once the control plane has persisted the report. */
  readonly reportLeaving: (incarnations: string[]) => Promise<unknown>;
}

/** Shared by all requests of a gateway. */
export class BackendShutdowns {
  private readonly leaving = new Set<string>();
  private readonly unreported = new Set<string>();
  private isReporting = false;
  private isClosed = false;

  private constructor(private readonly options: BackendShutdownsOptions) {}

  /**
   * Creates an empty list.
   *
   * @example
   * const shutdowns = BackendShutdowns.create({events, reportLeaving});
   */
  static create(options: BackendShutdownsOptions): BackendShutdowns {
    return new BackendShutdowns(options);
  }

  /** Records a response that announces a shutdown. */
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
      reason: 'announced its shutdown in a response',
    });
    this.unreported.add(incarnation);
    void this.report();
  }

  /**
   * True for a backend server that gets no new requests, whatever the control
   * plane says about it.
   */
  has(incarnation: string): boolean {
    return this.leaving.has(incarnation);
  }

  /** Stops reporting to the control plane. */
  close(): void {
    this.isClosed = true;
  }

  private async report(): Promise<void> {
    if (this.isReporting) {
      return;
    }
    this.isReporting = true;
    while (this.unreported.size > 0 && !this.isClosed) {
      const incarnations = [...this.unreported].slice(0, MAX_REPORTED);
      try {
        await this.options.reportLeaving(incarnations);
        incarnations.forEach(incarnation =>
          this.unreported.delete(incarnation),
        );
      } catch {
        // The client has logged the failure; the next leader gets the same
        // report.
        await waitFor(systemTimers, RETRY_MS);
      }
    }
    this.isReporting = false;
  }
}
