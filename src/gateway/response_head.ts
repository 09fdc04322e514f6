/** Status and headers of a backend server's response, as the gateway interprets them. */
export interface ResponseHead {
  readonly status: number;
  /** Headers to forward to the caller, by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  /** The id of the request that the response says it answers. */
  readonly requestId?: string;
  /** The response carries the seal header, with which the backend server vouches for it. */
  readonly isSealed: boolean;
  /** The backend server states that it has not executed the request. */
  readonly isNotRun: boolean;
  /** Another incarnation of a backend server now has this address, so the request was misdirected. */
  readonly isWrongIncarnation: boolean;
  /** The body is a stream of server-sent events. */
  readonly isEventStream: boolean;
  /** Requests per second that the backend server accepts from all gateways together. */
  readonly limitPerSecond?: number;
  /** Time for which the backend server stays cold, in milliseconds; 0 for one that is warm, absent for one that does not say. */
  readonly coldForMs?: number;
  /** How long this gateway should send nothing more, as announced by a backend server that refused the request. */
  readonly restMs?: number;
  /** The backend server announces that it is shutting down. */
  readonly isLeaving?: boolean;
  /** Name of a header that no response can carry, so that this one cannot be passed on. */
  readonly unsendable?: string;
  /** Name and value of a header whose value is invalid. */
  readonly unread?: string;
}
