/** Seeds that once broke a promise, each with the cause; they are played again in CI. */
export const FAILED_SEEDS: ReadonlyMap<number, string> = new Map([
  [37, 'no room for the first snapshot: the process ended by itself'],
  [697, 'a restarted process knew its seeds only, and others by hearsay'],
  [807, 'no room for the identity of a new disk: the process ended by itself'],
  [1044, 'a restarted process knew its seeds only, and others by hearsay'],
]);
