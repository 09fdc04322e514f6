/** Timing of loans from the slack of a retry budget, in milliseconds. */
export const retryLoanTiming = {
  /** A loan may be used until this long after it was asked for, by a clock that counts suspensions. */
  useWithinMs: 2_000,
  /** Longest time from the use of a loan until the retry arrives at its backend server. */
  transitMs: 1_000,
} as const;
