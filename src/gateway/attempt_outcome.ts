/** How one attempt to execute a request at a backend server ended. */
export interface AttemptOutcome {
  /**
   * `whole`: the response is complete. `not-run`: the request was not executed and
   * never will be. `broken`: it may have been executed, and the response is incomplete.
   */
  readonly kind: 'whole' | 'not-run' | 'broken';
  /** Told to the caller. */
  readonly reason: string;
  /** Describes a response that was rejected; only for the log. */
  readonly received?: string;
  /** The backend server refused the request because it has no free slot. */
  readonly isFull?: boolean;
  /** The backend server's side closed or reset the connection. */
  readonly isConnectionLost?: boolean;
}
