/** What the leader has heard from hosts and entries lately; never replicated. */
import {HostView} from '../coordination/groups/host_view';
import {HostReport} from '../protocol/host_report';

/** Silence after which a host or entry no longer counts as part of the fleet. */
const FORGET_AFTER_MS = 10 * 60_000;
const PRESENT_MS = 5_000;
/** A gap between two reports that counts as one loss of the host. */
const LOSS_GAP_MS = 1_500;

/** An entry process as last heard. */
interface EntryView {
  readonly entryId: string;
  readonly bundleVersion: number;
  readonly seenAt: number;
}

interface HostRecord {
  report: HostReport;
  seenAt: number;
  missingSince: number | undefined;
  /** When it was lost, newest last. */
  losses: number[];
  /** Members that its newest report named as missing. */
  namedMissing: readonly string[];
}

/** Reports of host and entry processes, newest of each, and how often hosts were lost. */
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
      namedMissing: [],
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

  /** Hosts heard within the last minutes. */
  listHosts(now: number, isDrained: (hostId: string) => boolean): HostView[] {
    removeOld(this.hosts, now);
    return [...this.hosts.values()].map(
      ({report, seenAt, missingSince, losses}) => {
        const recent = losses.filter(at => now - at < FORGET_AFTER_MS);
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

  /** A first member names the members that it does not hear; nobody else knows. */
  private recordMissing(record: HostRecord, now: number): void {
    const {missing} = record.report;
    for (const hostId of record.namedMissing) {
      const named = this.hosts.get(hostId);
      if (named && !missing.includes(hostId)) {
        named.missingSince = undefined;
      }
    }
    for (const hostId of missing) {
      const named = this.hosts.get(hostId);
      if (named) {
        named.missingSince ??= now;
      }
    }
    record.namedMissing = missing;
  }
}

function removeOld(views: Map<string, {seenAt: number}>, now: number): void {
  for (const [id, view] of views) {
    if (now - view.seenAt > FORGET_AFTER_MS) {
      views.delete(id);
    }
  }
}
