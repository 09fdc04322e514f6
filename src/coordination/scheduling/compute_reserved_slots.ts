/** Rates from the same gateways: of this one, or of all. */
interface ReservationInput {
  /** Arrivals of more urgent requests, per millisecond. */
  readonly moreUrgentPerMs: number;
  /** Slots that running requests free, per millisecond. */
  readonly freedPerMs: number;
}

/**
 * Computes how many free slots a less urgent request leaves: one for each more
 * urgent request that is expected before a slot is freed again. None
 * is reserved where no more urgent requests arrive.
 *
 * @example
 * const reserved = computeReservedSlots({moreUrgentPerMs: 0.01, freedPerMs: 0.06});
 */
export function computeReservedSlots(input: ReservationInput): number {
  const {moreUrgentPerMs, freedPerMs} = input;
  // Without running requests every slot is free.
  return freedPerMs > 0 ? Math.ceil(moreUrgentPerMs / freedPerMs) : 0;
}
