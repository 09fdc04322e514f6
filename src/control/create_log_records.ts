import {RaftEffects} from '../coordination/agreement/raft_effects';
import {LogRecord} from '../state/log_record';

/** Writes that one Raft step requires. */
interface PersistInput {
  readonly persist?: RaftEffects['persist'];
  /** Commit index after the step. */
  readonly commitIndex: number;
}

/**
 * Creates the write-ahead log records of one step, in the order in which recovery must read them.
 *
 * @example
 * const records = createLogRecords({persist, commitIndex: 7});
 */
export function createLogRecords({
  persist,
  commitIndex,
}: PersistInput): LogRecord[] {
  const records: LogRecord[] = [];
  if (persist?.hardState) {
    records.push({type: 'hard-state', ...persist.hardState});
  }
  if (persist?.truncateFrom !== undefined) {
    records.push({type: 'truncate', from: persist.truncateFrom});
  }
  const entries = persist?.entries ?? [];
  if (entries.length > 0) {
    records.push({type: 'commit', index: commitIndex});
  }
  return [
    ...records,
    ...entries.map(entry => ({type: 'entry' as const, entry})),
  ];
}
