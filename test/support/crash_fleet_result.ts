/** What came of it. */
export interface CrashFleetResult {
  /** Backend servers ended by each marked request. */
  readonly crashesByPoisonRequest: readonly number[];
  /** Sendings of a marked request after every gateway knew its verdict. */
  readonly sentAfterVerdict: number;
  /** From the end that decided to the last gateway that knew, in milliseconds. */
  readonly propagationMs: readonly number[];
  readonly healthy: number;
  /** Healthy requests that were refused for what ran beside them. */
  readonly healthyRejected: number;
  /** Repeats of healthy requests that had not begun: how long after the break they were sent. */
  readonly retryDelaysMs: readonly number[];
}
