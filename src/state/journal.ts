/** The journal of decisions: what the control plane decided, when and why. */
import {JournalEntry} from './journal_entry';

const MAX_ENTRIES = 10_000;
/** Old entries are dropped in batches, when the journal is longer than its limit by this factor. */
const TRUNCATE_FACTOR = 1.2;

type JournalNote = Omit<JournalEntry, 'details'> & {
  readonly details?: JournalEntry['details'];
};

/** Keeps the newest entries, in the order of the log. */
export class Journal {
  private constructor(private entries: JournalEntry[]) {}

  /**
   * Creates a journal with the entries of a snapshot.
   *
   * @example
   * const journal = Journal.create(snapshot?.journal);
   */
  static create(entries: readonly JournalEntry[] = []): Journal {
    return new Journal([...entries]);
  }

  /** Lists entries after an index, oldest first, filtered by subject and id if given. */
  list(filter: {subject?: string; id?: string; after: number}): JournalEntry[] {
    return this.entries.filter(
      entry =>
        entry.index > filter.after &&
        (filter.subject === undefined || entry.subject === filter.subject) &&
        (filter.id === undefined || entry.id === filter.id),
    );
  }

  record(note: JournalNote): void {
    this.entries.push({details: {}, ...note});
    if (this.entries.length > MAX_ENTRIES * TRUNCATE_FACTOR) {
      this.entries = this.entries.slice(-MAX_ENTRIES);
    }
  }

  save(): readonly JournalEntry[] {
    return this.entries;
  }
}
