/** The leader's view of host and entry processes, from their reports; not replicated. */
import {HostView} from '../coordination/groups/host_view';
import {HostReport} from '../protocol/host_report';

/** Silence after which a host or entry is removed, and the age up to which losses of a host count. */
const RETENTION_MS = 10 * 60_000;
/** Silence after which an entry no longer counts as running. */
const ENTRY_TIMEOUT_MS = 5_000;
/** A longer gap between two reports counts as a loss of the host. */
const LOSS_GAP_MS = 1_500;

/** The newest report of an entry process. */
interface EntryView {
  readonly entryId: string;
  readonly bundleVersion: number;
  readonly seenAt: number;
}

interface HostRecord {
  report: HostReport;
  seenAt: number;
  missingSince: number | undefined;
  /** Times of its losses, newest last. */
  losses: number[];
  /** Members that its newest report lists as missing. */
  reportedMissing: readonly string[];
}

/** Keeps the newest report of each host and entry process, and how often each host was lost. */
export class Fleet {
  private readonly hosts = new Map<string, HostRecord>();
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
    const known = this.hosts.get(report.hostId);
    const record = known ?? {
      report,
      seenAt: now,
      missingSince: undefined,
      losses: [],
      reportedMissing: [],
    };
    const isOtherProcess = record.report.incarnation !== report.incarnation;
    if (isOtherProcess || now - record.seenAt > LOSS_GAP_MS) {
      record.losses.push(now);
    }
    record.report = report;
    record.seenAt = now;
    this.hosts.set(report.hostId, record);
    this.recordMissing(record, now);
  }

  recordEntry(entryId: string, bundleVersion: number, now: number): void {
    this.entries.set(entryId, {entryId, bundleVersion, seenAt: now});
  }

  /** Hosts that reported within the retention time. */
  listHosts(now: number, isDrained: (hostId: string) => boolean): HostView[] {
    removeExpired(this.hosts, now);
    return [...this.hosts.values()].map(
      ({report, seenAt, missingSince, losses}) => {
        const recent = losses.filter(at => now - at < RETENTION_MS);
        return {
          report,
          seenAt,
          missingSince,
          losses: recent.length,
          lostAt: recent.at(-1) ?? -Infinity,
          isDrained: isDrained(report.hostId),
        };
      },
    );
  }

  /** Entries that count as running. */
  listEntries(now: number): EntryView[] {
    removeExpired(this.entries, now);
    return [...this.entries.values()].filter(
      entry => now - entry.seenAt <= ENTRY_TIMEOUT_MS,
    );
  }

  /** Removes all reports: a new leader starts without any. */
  clear(): void {
    this.hosts.clear();
    this.entries.clear();
  }

  /** Only the first member of a group can tell which other members it doesn't hear. */
  private recordMissing(record: HostRecord, now: number): void {
    const {missing} = record.report;
    for (const hostId of record.reportedMissing) {
      const member = this.hosts.get(hostId);
      if (member && !missing.includes(hostId)) {
        member.missingSince = undefined;
      }
    }
    for (const hostId of missing) {
      const member = this.hosts.get(hostId);
      if (member) {
        member.missingSince ??= now;
      }
    }
    record.reportedMissing = missing;
  }
}

function removeExpired(
  views: Map<string, {seenAt: number}>,
  now: number,
): void {
  for (const [id, view] of views) {
    if (now - view.seenAt > RETENTION_MS) {
      views.delete(id);
    }
  }
}
