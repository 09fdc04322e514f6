/** A monotonic clock, injected so that tests can use virtual time. */
export interface Clock {
  /** Milliseconds since an arbitrary fixed point; never decreases. */
  now(): number;
}
