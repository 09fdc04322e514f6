/** What became of a request, for the log. */
export interface RequestResult {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'gone' | 'contained';
  readonly reason: string;
  /** 0 when no status could be told any more. */
  readonly status: number;
  /** Incarnations that it was sent to, in order. */
  readonly targets: readonly string[];
  /** Events of a stream that were passed on. */
  readonly events: number;
  /** From arrival to the first event of a stream; -1 without one. */
  readonly firstEventMs: number;
  /** Requests known to run at the last target when it was chosen; -1 when none was. */
  readonly runningAtTarget: number;
  readonly tookMs: number;
  /** What tells it as the same request when its caller repeats it; only where a connection broke. */
  readonly identity?: string;
}
