/** Timing of permits that the leader and the gateways share, in milliseconds, by the kind of limit. */
export const permitTiming = {
  /** Limits that backend servers announce themselves. */
  announced: {
    /** Approximate length of the window over which backend servers count requests. */
    windowMs: 4_000,
    /** Permits in a window beyond the rate. */
    extraPermits: 1,
    /** A permit expires if it is not used within this time after it was requested. */
    useWithinMs: 100,
    /** Time from the issue of a permit until its request must have reached the backend server. */
    lifeMs: 150,
    /** Upper bound of the time between two permit requests from all gateways together. */
    maxRequestGapMs: Infinity,
  },
  /** Cold backend servers, whose rate holds for any second. */
  cold: {
    windowMs: 1_000,
    extraPermits: 0,
    // Shorter than above: a window and the life of a permit are the shortest
    // cycle, so 150 ms would leave 0.87 of the rate before any other delay.
    useWithinMs: 60,
    lifeMs: 100,
    // The wait for the next request after a permit is free is lost. With 0.8 of
    // the rate as the aim, 1 s / 0.8 - 1.1 s leaves 150 ms for it.
    maxRequestGapMs: 40,
  },
} as const;
