/** The head of a backend server's answer. */
export interface ResponseHead {
  readonly status: number;
  /** Headers for the caller, by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  /** The request that it answers, by its own word. */
  readonly requestId?: string;
  /** The backend server vouches for this answer. */
  readonly isSealed: boolean;
  /** The backend server says that the request has not run. */
  readonly isNotRun: boolean;
  /** The address is another start of a backend server now. */
  readonly isWrongIncarnation: boolean;
  /**
   * The answer says where it ends. Without it only the end of the connection
   * does, which a crash ends as well.
   */
  readonly isFramed: boolean;
  /** The body is a series of events. */
  readonly isEventStream: boolean;
  /** Requests a second that the backend server takes from all gateways together. */
  readonly limitPerSecond?: number;
  /** How long the backend server, which turned the request away, wants nothing from this gateway. */
  readonly restMs?: number;
  /** The backend server says that it will end. */
  readonly isLeaving?: boolean;
  /** A header that cannot mean what its name says, with its value. */
  readonly unread?: string;
}
