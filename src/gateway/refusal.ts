/** A request that a gateway answers itself, without sending it on. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** When the caller may come again; absent where that is of no use. */
  readonly retryAfterMs?: number;
}
