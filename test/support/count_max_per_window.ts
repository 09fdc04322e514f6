/** Counts the times in the fullest window. */
export function countMaxPerWindow(
  unsorted: readonly number[],
  windowMs: number,
): number {
  const times = [...unsorted].sort((left, right) => left - right);
  let most = 0;
  let first = 0;
  times.forEach((at, last) => {
    while (at - times[first] >= windowMs) {
      first += 1;
    }
    most = Math.max(most, last - first + 1);
  });
  return most;
}
