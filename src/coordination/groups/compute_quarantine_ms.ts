/** The first loss is forgiven at once; each further one doubles the time. */
const FIRST_PROBATION_MS = 15_000;
const MAX_PROBATION_MS = 10 * 60_000;

/**
 * How long a host stays out of new groups after it was lost this often lately.
 *
 * @returns milliseconds since its last loss; 0 for a host that was lost once at most
 * @example
 * computeProbation(3); // 30_000
 */
export function computeQuarantineMs(losses: number): number {
  return losses < 2
    ? 0
    : Math.min(MAX_PROBATION_MS, FIRST_PROBATION_MS * 2 ** (losses - 2));
}
