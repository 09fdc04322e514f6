/** Statuses of errors that the gateway answers itself. */
export const ERROR_STATUS = {
  /** The request was not executed and never will be. */
  notRun: 503,
  /** The request may have been executed. */
  failed: 502,
  /** The request's deadline has passed. */
  timedOut: 504,
  /**
   * Backend servers crash when they run this request, so no server can execute it,
   * though it is well formed. Callers do not retry a 4xx, and this one leaves open
   * whether the request was executed, as it may have been.
   */
  cannotBeRun: 422,
} as const;
