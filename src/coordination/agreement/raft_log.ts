/** The replicated log in memory, from the newest snapshot on. */
import {ControlCommand} from '../../protocol/control_command';
import {LogEntry} from '../../protocol/log_entry';
import {MessageOf} from '../../protocol/message_of';
import {CoordinationError} from '../coordination_error';
import {VoterSet} from './voter_set';

/** Where the log starts: everything up to `index` lies in a snapshot. */
interface SnapshotPosition {
  readonly index: number;
  readonly term: number;
  readonly voters: VoterSet;
}

type VoterEntry = LogEntry & {command: MessageOf<ControlCommand, 'set-voter'>};

/** Entries after a snapshot, and the voter sets that they lead to. */
export class RaftLog {
  /** The few entries that change voters, kept apart: they are asked for at every step. */
  private voterEntries: VoterEntry[] = [];
  /** Place of the newest entry that settles changes of voters; 0 for none. */
  private lastSettleIndex = 0;

  private constructor(
    private base: SnapshotPosition,
    private entries: LogEntry[],
  ) {}

  /**
   * Creates a log from a snapshot's place and the entries behind it.
   *
   * @throws CoordinationError when the entries do not follow the snapshot
   * @example
   * const log = RaftLog.create({index: 0, term: 0, voters}, []);
   */
  static create(
    start: SnapshotPosition,
    entries: readonly LogEntry[],
  ): RaftLog {
    const log = new RaftLog(start, []);
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

  /** The place of the snapshot that the log follows. */
  get snapshot(): SnapshotPosition {
    return this.base;
  }

  /** The term of an entry; undefined when it is unknown here. */
  getTerm(index: number): number | undefined {
    if (index === this.base.index) {
      return this.base.term;
    }
    return this.entries[index - this.firstIndex]?.term;
  }

  /** At most `limit` entries from `index` on. */
  slice(index: number, limit: number): LogEntry[] {
    const from = index - this.firstIndex;
    return this.entries.slice(from, from + limit);
  }

  /**
   * Adds entries at the end.
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

  /** Drops the entry at `index` and all after it. */
  truncate(index: number): void {
    this.entries.length = Math.max(0, index - this.firstIndex);
    this.indexVoterEntries();
  }

  /** Forgets the entries up to `index`, which a snapshot now holds. */
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

  /** Starts anew behind a snapshot that came from the leader. */
  reset(start: SnapshotPosition): void {
    this.base = start;
    this.entries = [];
    this.voterEntries = [];
    this.lastSettleIndex = 0;
  }

  /**
   * The voter sets in force: the committed one, then those of entries that are
   * not committed yet. What an entry settles is committed, whether it is itself or not.
   */
  listActiveVoterSets(commitIndex: number): VoterSet[] {
    return this.computeVoterSets(Math.max(commitIndex, this.lastSettleIndex));
  }

  /** The committed voters as of an entry, whatever was settled since. */
  findVotersAt(index: number): VoterSet {
    return this.computeVoterSets(index)[0];
  }

  private computeVoterSets(committed: number): VoterSet[] {
    const sets: VoterSet[] = [this.base.voters];
    for (const {index, command} of this.voterEntries) {
      const voters = new Map(sets[sets.length - 1]);
      if (command.replaces !== undefined) {
        voters.delete(command.replaces);
      }
      voters.set(command.name, command.identity);
      if (index <= committed) {
        sets.length = 0;
      }
      sets.push(voters);
    }
    return sets;
  }

  /** The newest change of voters that no entry settles; undefined when all are settled. */
  findUnsettledVoterChange(): number | undefined {
    const index = this.voterEntries.at(-1)?.index ?? 0;
    return index > this.lastSettleIndex ? index : undefined;
  }

  /** True when a committed entry settles every change of voters: a majority has it on disk. */
  isVoterChangeSettled(commitIndex: number): boolean {
    const isChanging = this.voterEntries.length > 0;
    return (
      this.findUnsettledVoterChange() === undefined &&
      (!isChanging || this.lastSettleIndex <= commitIndex)
    );
  }

  private indexVoterEntries(): void {
    this.voterEntries = this.entries.filter(isVoterEntry);
    const settling = this.entries.filter(
      ({command}) => command.type === 'settle-voters',
    );
    this.lastSettleIndex = settling.at(-1)?.index ?? 0;
  }
}

function isVoterEntry(entry: LogEntry): entry is VoterEntry {
  return entry.command.type === 'set-voter';
}
