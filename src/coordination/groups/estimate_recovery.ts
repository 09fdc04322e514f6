/** Estimates whether an unreachable host returns, from how long nothing was heard of it. */

/** Mean duration of short outages: process pauses, lost packets, quick restarts. */
const SHORT_OUTAGE_MS = 4_000;
/** Prior probability that an outage is a short one. */
const SHORT_SHARE = 0.7;

/** Expected recovery of an unreachable host. */
interface RecoveryEstimate {
  /** Probability that it returns soon. */
  readonly probability: number;
  /** Mean milliseconds until then, if it does. */
  readonly meanMs: number;
}

/**
 * Weighs a short outage against a lasting one. Short ones end at a constant rate, so
 * each further second without a report makes a lasting one more likely.
 *
 * @param silentMs time since the last report
 * @example
 * estimateRecovery(2_000).probability; // about 0.59
 */
export function estimateRecovery(silentMs: number): RecoveryEstimate {
  const short = SHORT_SHARE * Math.exp(-silentMs / SHORT_OUTAGE_MS);
  const lasting = 1 - SHORT_SHARE;
  return {probability: short / (short + lasting), meanMs: SHORT_OUTAGE_MS};
}
