/** How an attempt ended. */
export interface AttemptOutcome {
  /**
   * `whole`: the answer is there to its end. `not-run`: it has not run and never
   * will. `broken`: it may have run, and the answer is not whole.
   */
  readonly kind: 'whole' | 'not-run' | 'broken';
  readonly reason: string;
  /** It broke because the backend server's end of the connection did. */
  readonly isConnectionLost?: boolean;
}
