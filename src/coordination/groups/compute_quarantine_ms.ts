/** A single loss causes no quarantine; each one after the second doubles the time. */
const FIRST_QUARANTINE_MS = 15_000;
const MAX_QUARANTINE_MS = 10 * 60_000;

/**
 * How long a host stays out of new groups after it was lost this often recently.
 *
 * @returns milliseconds since its last loss; 0 for a host that was lost once at most
 * @example
 * computeQuarantineMs(3); // 30_000
 */
export function computeQuarantineMs(losses: number): number {
  return losses < 2
    ? 0
    : Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** (losses - 2));
}
