/** Computes median and 99th percentile of a list of numbers; both are NaN for an empty list. */
export function summarize(values: readonly number[]): {
  median: number;
  p99: number;
  count: number;
} {
  const sorted = [...values].sort((left, right) => left - right);
  const percentile = (fraction: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ??
    NaN;
  return {median: percentile(0.5), p99: percentile(0.99), count: sorted.length};
}
