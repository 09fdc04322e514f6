/** When a request is expected to begin, and the figures behind it. */
export interface WaitEstimate {
  /** Requests that begin before it. */
  readonly ahead: number;
  /** Milliseconds until a slot is free for it; Infinity if none is expected. */
  readonly waitMs: number;
  /** Requests of this gateway that engines are running now. */
  readonly running: number;
  /** Mean time for which a request occupies its slot. */
  readonly slotMs: number;
  /** True if it will begin before its caller disconnects. */
  readonly canWait: boolean;
  /** False for a request that can only be late while others are turned away that could be in time. */
  readonly mayBegin: boolean;
}
