/** The state of a keep-alive connection when it begins to carry a request. */
export interface ConnectionUse {
  /** Requests that it has carried, this one included. */
  readonly requestCount: number;
  /** Milliseconds since it was opened. */
  readonly ageMs: number;
}
