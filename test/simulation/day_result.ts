/** How a day went. */
export interface DayResult {
  readonly seed: number;
  /** What broke; undefined when all promises held. */
  readonly broken?: string;
  /** What happened, as sentences, for the reader of a broken day. */
  readonly story: readonly string[];
  readonly acknowledged: number;
  /** Acknowledged orders to evacuate or restore a zone; undefined on days without. */
  readonly evacuations?: number;
  /** From the end of the last fault until a leader could answer. */
  readonly leaderAfterMs?: number;
}
