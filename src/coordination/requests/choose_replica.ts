/** Chooses where a request runs. */

/** A replica that could take a request. */
interface ReplicaLoad {
  readonly groupId: string;
  /** Requests that run there, as reported and corrected by our own dispatches. */
  readonly running: number;
}

/**
 * Takes the less loaded of two random replicas: near the best choice without
 * every entry running after the same report.
 *
 * @param random uniform in [0, 1)
 * @returns undefined when there is none
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
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const second = (first + step) % candidates.length;
  const [left, right] = [candidates[first], candidates[second]];
  return left.running <= right.running ? left : right;
}
