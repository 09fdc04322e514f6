import {Cancel} from './cancel';

/** Lets things happen later. Machinery that waits takes it from outside, so that a simulation can drive it. */
export interface Timers {
  /** Calls again and again, every `ms` milliseconds. */
  repeat(ms: number, act: () => void): Cancel;
  /** Calls once, after `ms` milliseconds. */
  delay(ms: number, act: () => void): Cancel;
  /** Calls once, after what is under way now. */
  defer(act: () => void): void;
}
