/** Median and 99th percentile of a list of numbers. */
export function summarize(values: readonly number[]): {
  median: number;
  p99: number;
  count: number;
} {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ??
    NaN;
  return {median: at(0.5), p99: at(0.99), count: sorted.length};
}
