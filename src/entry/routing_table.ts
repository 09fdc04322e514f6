/** The entry's copy of the bundle and the groups that control decided, with its lease. */
import {Clock} from '../common/clock';
import {BundleLease} from '../coordination/requests/bundle_lease';
import {Bundle} from '../protocol/bundle';
import {ControlClient} from '../protocol/control_client';
import {ControlMessage} from '../protocol/control_message';
import {Group} from '../protocol/group';
import {MessageOf} from '../protocol/message_of';

/** Control holds a poll until something changes, so this delay only limits the rate of updates. */
const REFRESH_DELAY_MS = 20;

type Directive = MessageOf<ControlMessage, 'entry-directive'>;

/** What the table needs. */
interface RoutingTableOptions {
  readonly entryId: string;
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly onGroups: (groups: readonly Group[]) => void;
  readonly onBundle: (bundle: Bundle) => void;
}

/** Polls control for changes; out of date while control does not answer. */
export class RoutingTable {
  private currentBundle: Bundle | undefined;
  private currentGroups: readonly Group[] = [];
  private tableVersion = 0;
  private readonly lease = BundleLease.create();
  private sharingEntries = 1;
  private isClosed = false;
  private endDelay: () => void = () => undefined;

  private constructor(private readonly options: RoutingTableOptions) {
    void this.run();
  }

  /**
   * Starts polling control.
   *
   * @example
   * const table = RoutingTable.create({entryId, client, clock, onGroups, onBundle});
   */
  static create(options: RoutingTableOptions): RoutingTable {
    return new RoutingTable(options);
  }

  /** The latest bundle received from control. */
  get bundle(): Bundle | undefined {
    return this.currentBundle;
  }

  get groups(): readonly Group[] {
    return this.currentGroups;
  }

  /** Number of entries that share the limits of the bundle. */
  get entryCount(): number {
    return this.sharingEntries;
  }

  /** Whether control confirmed the bundle recently enough to accept new requests. */
  hasLease(now: number): boolean {
    return this.lease.isHeld(now);
  }

  close(): void {
    this.isClosed = true;
    this.endDelay();
    this.options.client.close();
  }

  private async run(): Promise<void> {
    while (!this.isClosed) {
      await this.refresh().catch(() => undefined);
      await new Promise<void>(resolve => {
        this.endDelay = resolve;
        setTimeout(resolve, REFRESH_DELAY_MS);
      });
    }
  }

  private async refresh(): Promise<void> {
    const {client, clock, entryId} = this.options;
    const sentAt = clock.now();
    const directive = await client.ask({
      type: 'entry-report',
      entryId,
      bundleVersion: this.currentBundle?.version ?? 0,
      tableVersion: this.tableVersion,
    });
    if (!this.isClosed) {
      this.applyDirective(directive, sentAt);
    }
  }

  private applyDirective(directive: Directive, sentAt: number): void {
    this.lease.renew(sentAt, directive.leaseMs);
    this.sharingEntries = directive.entries;
    if (directive.bundle) {
      const bundle = Bundle.parse(JSON.parse(directive.bundle.document));
      if (bundle.version > (this.currentBundle?.version ?? 0)) {
        this.currentBundle = bundle;
        this.options.onBundle(bundle);
      }
    }
    if (directive.groups) {
      this.currentGroups = directive.groups;
      this.tableVersion = directive.tableVersion;
      this.options.onGroups(directive.groups);
    }
  }
}
