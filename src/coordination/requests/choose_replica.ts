/** Load balancing of requests among replicas. */

/** A replica that can take a request. */
interface ReplicaLoad {
  readonly groupId: string;
  /** Number of requests in progress there: as reported, corrected by our own dispatches since. */
  readonly running: number;
}

/**
 * Chooses the less loaded of two random replicas ("power of two choices"). This comes
 * close to the best choice without all entries sending to the same replica after a
 * report.
 *
 * @param random returns a uniform number in [0, 1)
 * @returns undefined if there are no candidates
 * @example
 * const replica = chooseReplica(candidates, Math.random);
 */
export function chooseReplica<T extends ReplicaLoad>(
  candidates: readonly T[],
  random: () => number,
): T | undefined {
  if (candidates.length <= 1) {
    return candidates[0];
  }
  const first = Math.floor(random() * candidates.length);
  const offset = 1 + Math.floor(random() * (candidates.length - 1));
  const second = (first + offset) % candidates.length;
  const [left, right] = [candidates[first], candidates[second]];
  return left.running <= right.running ? left : right;
}
