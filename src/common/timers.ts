import {Cancel} from './cancel';

/** Schedules callbacks; injected so that simulations can use virtual time. */
export interface Timers {
  /** Calls back every `ms` milliseconds until cancelled. */
  repeat(ms: number, callback: () => void): Cancel;
  /** Calls back once, after `ms` milliseconds, unless cancelled. */
  delay(ms: number, callback: () => void): Cancel;
  /** Calls back once, after the current work, in a later turn of the event loop. */
  defer(callback: () => void): void;
}
