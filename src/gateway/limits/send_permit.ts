/** The right to send one request to a rate-limited backend server. */
export interface SendPermit {
  /** True once the permit must not be used any more. */
  readonly hasExpired: () => boolean;
}
