/** How a request to a target ended. */
export interface RequestEnd {
  /** Events of a complete stream; undefined for any other response. */
  readonly events?: number;
  /** What came was not taken as the answer to the request. */
  readonly wasRejected?: boolean;
}
