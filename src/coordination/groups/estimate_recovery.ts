/** Estimates whether an unreachable host returns, from how long nothing was heard of it. */

/** Mean duration of transient outages: process pauses, lost packets, quick restarts. */
const TRANSIENT_OUTAGE_MS = 4_000;
/** Prior probability that an outage is transient. */
const TRANSIENT_PRIOR = 0.7;

/** Expected recovery of an unreachable host. */
interface RecoveryEstimate {
  /** Probability that the outage is transient. */
  readonly probability: number;
  /** Mean remaining milliseconds, if it is. */
  readonly meanMs: number;
}

/**
 * Computes the posterior probability of a transient outage. Transient ones end at a
 * constant rate, so each further second without a report makes a permanent one likelier.
 *
 * @param silentMs time since the last report
 * @example
 * estimateRecovery(2_000).probability; // about 0.59
 */
export function estimateRecovery(silentMs: number): RecoveryEstimate {
  const transient = TRANSIENT_PRIOR * Math.exp(-silentMs / TRANSIENT_OUTAGE_MS);
  const permanent = 1 - TRANSIENT_PRIOR;
  return {
    probability: transient / (transient + permanent),
    meanMs: TRANSIENT_OUTAGE_MS,
  };
}
