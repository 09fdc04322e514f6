/** What the leader has heard from hosts and entries lately; never replicated. */
import {HostView} from '../coordination/host_view';
import {HostReport} from '../protocol/host_report';

/** Silence after which a host or entry no longer counts as part of the fleet. */
const FORGET_AFTER_MS = 10 * 60_000;
const PRESENT_MS = 5_000;

/** An entry process as last heard. */
interface EntryView {
  readonly entryId: string;
  readonly bundleVersion: number;
  readonly seenAt: number;
}

/** Reports of host and entry processes, newest of each. */
export class Fleet {
  private readonly hosts = new Map<
    string,
    {report: HostReport; seenAt: number}
  >();
  private readonly entries = new Map<string, EntryView>();

  private constructor() {}

  /**
   * Creates an empty fleet.
   *
   * @example
   * const fleet = Fleet.create();
   */
  static create(): Fleet {
    return new Fleet();
  }

  recordHost(report: HostReport, now: number): void {
    this.hosts.set(report.hostId, {report, seenAt: now});
  }

  recordEntry(entryId: string, bundleVersion: number, now: number): void {
    this.entries.set(entryId, {entryId, bundleVersion, seenAt: now});
  }

  /** Hosts heard within the last minutes. */
  listHosts(now: number, isDrained: (hostId: string) => boolean): HostView[] {
    removeOld(this.hosts, now);
    return [...this.hosts.values()].map(({report, seenAt}) => ({
      report,
      seenAt,
      isDrained: isDrained(report.hostId),
    }));
  }

  /** Entries heard within the last seconds. */
  listEntries(now: number): EntryView[] {
    removeOld(this.entries, now);
    return [...this.entries.values()].filter(
      entry => now - entry.seenAt <= PRESENT_MS,
    );
  }

  /** Forgets everything: a new leader starts by listening. */
  clear(): void {
    this.hosts.clear();
    this.entries.clear();
  }
}

function removeOld(views: Map<string, {seenAt: number}>, now: number): void {
  for (const [id, view] of views) {
    if (now - view.seenAt > FORGET_AFTER_MS) {
      views.delete(id);
    }
  }
}
