/** What a caller saw of one request; times of the monotonic clock in milliseconds. */
export interface SoakReply {
  /** 0 where no head came. */
  readonly status: number;
  readonly body: string;
  /** The request id that the answer carries. */
  readonly answeredId?: string;
  /** The answer came to the end that its framing promises. */
  readonly isWhole: boolean;
  /** Bytes of the answer, its head included. */
  readonly bytes: number;
  /** The caller ended it, as its patience was over. */
  readonly wasGivenUp: boolean;
  /** It went out on a connection that had carried another one. */
  readonly wasOnKept: boolean;
  readonly error: string;
  readonly sentAt: number;
  readonly endedAt: number;
}
