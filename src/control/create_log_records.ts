import {RaftEffects} from '../coordination/agreement/raft_effects';
import {LogRecord} from '../state/log_record';

/** What one step of the agreement has for the disk. */
interface PersistInput {
  readonly persist?: RaftEffects['persist'];
  /** Known to be committed when the step was made. */
  readonly commitIndex: number;
}

/**
 * Records of the log for one step, in the order in which they must be read again.
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
