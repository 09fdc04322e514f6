/** What callers are told that get no answer of a backend server. */
export const ERROR_STATUS = {
  /** It has not run and never will. */
  notRun: 503,
  /** It may have run. */
  failed: 502,
  /** Its time is over. */
  timedOut: 504,
  /**
   * Backend servers end under it: it is well formed and cannot be carried out, by
   * whomever and however often. Callers do not repeat a 4xx, and it does not say
   * whether the request ran, as it may have.
   */
  cannotBeRun: 422,
} as const;
