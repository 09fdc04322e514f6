/** Estimates whether a silent host comes back, from how long it has been silent. */

/** Silences that end by themselves (pauses, lost packets, quick restarts) last about this long. */
const SHORT_OUTAGE_MS = 4_000;
/** The share of silences that are short, as long as nothing else is known. */
const SHORT_SHARE = 0.7;

/** What to expect of a silent host. */
interface ReturnEstimate {
  /** Probability that it returns soon. */
  readonly probability: number;
  /** Milliseconds until then, if it does. */
  readonly meanMs: number;
}

/**
 * Weighs a short outage against a lasting one: short ones end at a constant
 * rate, so each further second of silence speaks for a lasting one.
 *
 * @param silentMs how long nothing was heard
 * @example
 * computeReturn(2_000).probability; // about 0.59
 */
export function estimateRecovery(silentMs: number): ReturnEstimate {
  const short = SHORT_SHARE * Math.exp(-silentMs / SHORT_OUTAGE_MS);
  const lasting = 1 - SHORT_SHARE;
  return {probability: short / (short + lasting), meanMs: SHORT_OUTAGE_MS};
}
