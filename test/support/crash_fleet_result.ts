/** Measurements of `runCrashFleet`. */
export interface CrashFleetResult {
  /** Backend servers crashed by each poison request. */
  readonly crashesByPoisonRequest: readonly number[];
  /** Attempts of poison requests after every gateway knew the verdict. */
  readonly sentAfterVerdict: number;
  /** Time from each verdict until the last gateway knew it, in milliseconds. */
  readonly propagationMs: readonly number[];
  readonly healthy: number;
  /** Healthy requests that were wrongly convicted because of requests beside them. */
  readonly healthyRejected: number;
  /** The fraction of healthy requests whose first attempt began. */
  readonly begunAtFirstAttempt: number;
  /** Delay between connection loss and retry of healthy requests without a response yet. */
  readonly retryDelaysMs: readonly number[];
}
