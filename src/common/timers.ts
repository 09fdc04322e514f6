/** Ends what was set going. */
export type Cancel = () => void;

/** Lets things happen later. Machinery that waits takes it from outside, so that a simulation can drive it. */
export interface Timers {
  /** Calls again and again, every `ms` milliseconds. */
  every(ms: number, act: () => void): Cancel;
  /** Calls once, after `ms` milliseconds. */
  after(ms: number, act: () => void): Cancel;
  /** Calls once, after what is under way now. */
  soon(act: () => void): void;
}
