/** What came of it. */
export interface CrashFleetResult {
  /** Backend servers ended by each marked request. */
  readonly endedByMarked: readonly number[];
  /** Sendings of a marked request after every gateway knew its verdict. */
  readonly sentAfterKnown: number;
  /** From the end that decided to the last gateway that knew, in milliseconds. */
  readonly knownAfterMs: readonly number[];
  readonly healthy: number;
  /** Healthy requests that were refused for what ran beside them. */
  readonly healthyRefused: number;
  /** Repeats of healthy requests that had not begun: how long after the break they were sent. */
  readonly repeatDelaysMs: readonly number[];
}
