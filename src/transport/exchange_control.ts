/** Controls one request and its response on a connection. */
export interface ExchangeControl {
  /** Closes the connection, so that the server notices. */
  readonly abort: (reason: Error) => void;
  readonly pause: () => void;
  readonly resume: () => void;
  /**
   * Discards the rest of the response. The connection stays busy until the rest has
   * ended, and is closed if the rest is long or does not end soon.
   */
  readonly drain: () => void;
}
