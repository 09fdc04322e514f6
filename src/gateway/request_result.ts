/** The outcome of a request; its fields are written to the log. */
export interface RequestResult {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'gone' | 'contained';
  readonly reason: string;
  /** 0 when no status could be sent any more. */
  readonly status: number;
  /** Incarnations of the backend servers that it was sent to, in order. */
  readonly targets: readonly string[];
  /** Number of events forwarded to the caller. */
  readonly events: number;
  /** From arrival to the first forwarded event; -1 if there was none. */
  readonly firstEventMs: number;
  /** From arrival until it was first sent to a backend server; -1 if it never was. */
  readonly firstSentMs: number;
  /** Requests known to run at the last target when it was chosen; -1 if none was chosen. */
  readonly runningAtTarget: number;
  readonly tookMs: number;
  /** Identifies repetitions of the request by its caller; set only if a connection was lost. */
  readonly identity?: string;
  /** Describes the last response that was rejected, for the log. */
  readonly received?: string;
}
