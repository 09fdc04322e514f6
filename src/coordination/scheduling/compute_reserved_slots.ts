/** What one gateway knows of the demand for a model and of its slots. */
interface ReservationInput {
  /** Arrivals of more urgent requests at all gateways, per millisecond. */
  readonly moreUrgentPerMs: number;
  /** Slots that requests of this gateway free, per millisecond. */
  readonly freedPerMs: number;
  /** Slots of all engines together. */
  readonly slots: number;
}

/** Bounds the slots that stay unused for requests that may not come while others wait. */
const MAX_FRACTION = 0.02;

/**
 * Computes how many free slots a less urgent request leaves: one for each more
 * urgent request that is expected, at any gateway, before this gateway frees a
 * slot again. None is reserved where no more urgent requests arrive.
 *
 * @example
 * const reserved = computeReservedSlots({moreUrgentPerMs: 0.03, freedPerMs: 0.006, slots: 204});
 */
export function computeReservedSlots(input: ReservationInput): number {
  const {moreUrgentPerMs, freedPerMs, slots} = input;
  if (moreUrgentPerMs <= 0 || freedPerMs <= 0) {
    return 0;
  }
  const expected = Math.ceil(moreUrgentPerMs / freedPerMs);
  return Math.min(expected, Math.max(1, Math.floor(slots * MAX_FRACTION)));
}
