/** What one connection of a caller may send, and how long it may take. */
export interface HttpLimits {
  /** Largest head of a request. */
  readonly maxHeaderBytes: number;
  /** From the first byte of a head to its last, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** How long a connection without a request is kept open, in milliseconds. */
  readonly idleTimeoutMs: number;
}
