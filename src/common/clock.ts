/**
 * A monotonic clock. Decisions take the time from outside, so that tests can
 * drive them with a virtual clock.
 */
export interface Clock {
  /** Milliseconds since an arbitrary fixed point; never goes back. */
  now(): number;
}
