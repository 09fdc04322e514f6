/** Permit timing that the leader and the gateways share, in milliseconds. */
export const permitTiming = {
  /** Approximate length of the window over which backend servers count requests. */
  windowMs: 4_000,
  /** A permit expires if it is not used within this time after it was requested. */
  useWithinMs: 100,
  /** Time from the issue of a permit until its request must have reached the backend server. */
  lifeMs: 150,
} as const;
