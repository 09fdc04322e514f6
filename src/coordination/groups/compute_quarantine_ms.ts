/** Quarantine after the second loss; a single loss has none, and each further one doubles it. */
const FIRST_QUARANTINE_MS = 15_000;
const MAX_QUARANTINE_MS = 10 * 60_000;

/**
 * Returns how long a host is kept out of new groups after this many recent losses,
 * with exponential backoff.
 *
 * @returns milliseconds from its last loss; 0 for a host that was lost once at most
 * @example
 * computeQuarantineMs(3); // 30_000
 */
export function computeQuarantineMs(losses: number): number {
  return losses < 2
    ? 0
    : Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** (losses - 2));
}
