const THREE_MENDS =
  'no leader: votes refused to strangers, links to seeds only, or the end of a change in memory only';

const SUSPENDED = 'a leader that was suspended answered by rounds from before';

/**
 * Seeds that once broke a promise, each with the cause; they are played again in CI.
 * The first four broke when a day's changes came at another pace.
 */
export const FAILED_SEEDS: ReadonlyMap<number, string> = new Map([
  [37, 'no room for the first snapshot: the process ended by itself'],
  [697, 'a restarted process knew its seeds only, and others by hearsay'],
  [807, 'no room for the identity of a new disk: the process ended by itself'],
  [1044, 'a restarted process knew its seeds only, and others by hearsay'],
  [12, THREE_MENDS],
  [25, THREE_MENDS],
  [29, THREE_MENDS],
  [52, THREE_MENDS],
  [240, SUSPENDED],
  [245, SUSPENDED],
  [252, SUSPENDED],
  [300, SUSPENDED],
]);
