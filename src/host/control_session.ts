/** Reports to control several times a second and passes on its directives. */
import {Clock} from '../common/clock';
import {BundleLease} from '../coordination/requests/bundle_lease';
import {ControlClient} from '../protocol/control_client';
import {ControlMessage} from '../protocol/control_message';
import {HostReport} from '../protocol/host_report';
import {MessageOf} from '../protocol/message_of';

const REPORT_INTERVAL_MS = 300;

/** What the session needs. */
interface ControlSessionOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  /** Undefined while the process must not report itself as available yet. */
  readonly createReport: () => HostReport | undefined;
  readonly onDirective: (
    directive: MessageOf<ControlMessage, 'host-directive'>,
  ) => void;
}

/** Keeps the lease that the directives of control renew. */
export class ControlSession {
  private readonly lease = BundleLease.create();
  private isClosed = false;
  private endDelay: () => void = () => undefined;

  private constructor(private readonly options: ControlSessionOptions) {
    void this.run();
  }

  /**
   * Starts reporting.
   *
   * @example
   * const session = ControlSession.create({client, clock, createReport, onDirective});
   */
  static create(options: ControlSessionOptions): ControlSession {
    return new ControlSession(options);
  }

  /** Whether control confirmed the bundle recently enough to start new attempts. */
  hasLease(now: number): boolean {
    return this.lease.isHeld(now);
  }

  /** Reports immediately instead of after the current delay. */
  reportNow(): void {
    this.endDelay();
  }

  close(): void {
    this.isClosed = true;
    this.endDelay();
    this.options.client.close();
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      await this.reportOnce();
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, REPORT_INTERVAL_MS);
        this.endDelay = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  private async reportOnce(): Promise<void> {
    const {client, clock, createReport, onDirective} = this.options;
    const report = createReport();
    if (!report) {
      return;
    }
    const sentAt = clock.now();
    try {
      const directive = await client.ask({type: 'host-report', report});
      if (!this.isClosed) {
        this.lease.renew(sentAt, directive.leaseMs);
        onDirective(directive);
      }
    } catch {
      // No leader answered; without a renewal the lease expires.
    }
  }
}
