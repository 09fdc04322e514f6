/** Times of permits that the leader and the gateways have to agree on, in milliseconds. */
export const permitTiming = {
  /** Backend servers count what they get over about so long. */
  windowMs: 4_000,
  /** A permit is used this soon after it was asked for, or not at all. */
  useWithinMs: 100,
  /** From the issue of a permit until nothing sent by it can still be on its way. */
  lifeMs: 150,
} as const;
