/** What became of a request, for the log. */
export interface FlowResult {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'gone';
  readonly reason: string;
  /** 0 when no status could be told any more. */
  readonly status: number;
  /** Incarnations that it was sent to, in order. */
  readonly targets: readonly string[];
  /** Events of a stream that were passed on. */
  readonly events: number;
  readonly tookMs: number;
}
