/** The in-memory part of the replicated log, from the newest snapshot on. */
import {ControlCommand} from '../../protocol/control_command';
import {LogEntry} from '../../protocol/log_entry';
import {MessageOf} from '../../protocol/message_of';
import {CoordinationError} from '../coordination_error';
import {VoterSet} from './voter_set';

/** Position of the snapshot that the log follows, and the voters as of that entry. */
interface SnapshotPosition {
  readonly index: number;
  readonly term: number;
  readonly voters: VoterSet;
}

type VoterEntry = LogEntry & {command: MessageOf<ControlCommand, 'set-voter'>};

/** Log entries after a snapshot, and the voter sets that result from them. */
export class RaftLog {
  /** Entries that change voters, kept separately since every step reads them. */
  private voterEntries: VoterEntry[] = [];
  /** Index of the last `settle-voters` entry; 0 if there is none. */
  private lastSettleIndex = 0;

  private constructor(
    private base: SnapshotPosition,
    private entries: LogEntry[],
  ) {}

  /**
   * Creates a log from a snapshot position and the entries after it.
   *
   * @throws CoordinationError when the entries do not follow the snapshot
   * @example
   * const log = RaftLog.create({index: 0, term: 0, voters}, []);
   */
  static create(base: SnapshotPosition, entries: readonly LogEntry[]): RaftLog {
    const log = new RaftLog(base, []);
    log.append(entries);
    return log;
  }

  get firstIndex(): number {
    return this.base.index + 1;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** Position of the snapshot that the log follows. */
  get snapshot(): SnapshotPosition {
    return this.base;
  }

  /** Returns the term of an entry; undefined if the log does not have it. */
  getTerm(index: number): number | undefined {
    if (index === this.base.index) {
      return this.base.term;
    }
    return this.entries[index - this.firstIndex]?.term;
  }

  /** Returns at most `limit` entries from `index` on. */
  slice(index: number, limit: number): LogEntry[] {
    const from = index - this.firstIndex;
    return this.entries.slice(from, from + limit);
  }

  /**
   * Appends entries.
   *
   * @throws CoordinationError when they leave a gap
   */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new CoordinationError(
          'entry %d cannot follow %d',
          entry.index,
          this.lastIndex,
        );
      }
      this.entries.push(entry);
      if (isVoterEntry(entry)) {
        this.voterEntries.push(entry);
      } else if (entry.command.type === 'settle-voters') {
        this.lastSettleIndex = entry.index;
      }
    }
  }

  /** Removes the entry at `index` and all after it. */
  truncate(index: number): void {
    this.entries.length = Math.max(0, index - this.firstIndex);
    this.indexVoterEntries();
  }

  /** Removes the entries up to `index`, which a snapshot now contains. */
  compact(index: number): void {
    const term = this.getTerm(index);
    if (term === undefined || index <= this.base.index) {
      return;
    }
    const voters = this.findVotersAt(index);
    this.entries = this.entries.slice(index - this.base.index);
    this.base = {index, term, voters};
    this.indexVoterEntries();
  }

  /** Replaces the whole log with the position of a snapshot from the leader. */
  reset(base: SnapshotPosition): void {
    this.base = base;
    this.entries = [];
    this.voterEntries = [];
    this.lastSettleIndex = 0;
  }

  /**
   * Returns the active voter sets: the committed one, then one for each uncommitted
   * voter change. Changes before a `settle-voters` entry are committed, even if that
   * entry itself is not.
   */
  listActiveVoterSets(commitIndex: number): VoterSet[] {
    return this.computeVoterSets(Math.max(commitIndex, this.lastSettleIndex));
  }

  /** Returns the voters as of an entry, regardless of later entries. */
  findVotersAt(index: number): VoterSet {
    return this.computeVoterSets(index)[0];
  }

  private computeVoterSets(commitIndex: number): VoterSet[] {
    const sets: VoterSet[] = [this.base.voters];
    for (const {index, command} of this.voterEntries) {
      const voters = new Map(sets[sets.length - 1]);
      if (command.replaces !== undefined) {
        voters.delete(command.replaces);
      }
      voters.set(command.name, command.identity);
      if (index <= commitIndex) {
        sets.length = 0;
      }
      sets.push(voters);
    }
    return sets;
  }

  /** Returns the index of the last voter change without a later `settle-voters` entry, if any. */
  findUnsettledVoterChange(): number | undefined {
    const index = this.voterEntries.at(-1)?.index ?? 0;
    return index > this.lastSettleIndex ? index : undefined;
  }

  /**
   * True if a committed `settle-voters` entry follows every voter change, so that a
   * majority of disks records the changes as committed.
   */
  isVoterChangeSettled(commitIndex: number): boolean {
    const hasVoterEntries = this.voterEntries.length > 0;
    return (
      this.findUnsettledVoterChange() === undefined &&
      (!hasVoterEntries || this.lastSettleIndex <= commitIndex)
    );
  }

  private indexVoterEntries(): void {
    this.voterEntries = this.entries.filter(isVoterEntry);
    const settleEntries = this.entries.filter(
      ({command}) => command.type === 'settle-voters',
    );
    this.lastSettleIndex = settleEntries.at(-1)?.index ?? 0;
  }
}

function isVoterEntry(entry: LogEntry): entry is VoterEntry {
  return entry.command.type === 'set-voter';
}
