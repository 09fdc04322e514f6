/** The right to send one request to a backend server with a limit. */
export interface SendPermit {
  /** True once it must not be used any more. */
  readonly hasExpired: () => boolean;
}
