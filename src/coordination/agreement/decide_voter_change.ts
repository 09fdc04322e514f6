/** The current voters and the processes that ask to become one. */
interface VoterChangeInput {
  /** Committed voters, identity by name. */
  readonly voters: ReadonlyMap<string, string>;
  /** Identities of reachable processes that ask to become voters. */
  readonly candidates: readonly string[];
  /** Number of voters that the quorum should have. */
  readonly target: number;
  /** Whether the voter with this identity is gone or has not responded for a long time. */
  readonly isUnresponsive: (identity: string) => boolean;
  /** When a voter that is silent now last responded; undefined for one that responds. */
  readonly findSilentSince: (identity: string) => number | undefined;
  /** When the candidate with this identity first asked, on the same clock. */
  readonly findAppearedAt: (identity: string) => number;
}

/** A single step: adds one voter and removes at most one. */
interface VoterChange {
  readonly name: string;
  readonly identity: string;
  /** Name of the voter that is removed. */
  readonly replaces?: string;
}

/**
 * Decides the next membership change of the quorum. In order of priority: a voter
 * that returned with a new disk gets its vote back, a missing voter is added, and an
 * unresponsive voter is replaced.
 *
 * @example
 * const change = decideVoterChange({voters, candidates, target: 5, isUnresponsive, findSilentSince, findAppearedAt});
 */
export function decideVoterChange(
  input: VoterChangeInput,
): VoterChange | undefined {
  const {voters, target, isUnresponsive} = input;
  const candidates = input.candidates
    .map(identity => ({name: identity.split('/')[0], identity}))
    .filter(({name, identity}) => voters.get(name) !== identity);
  const returning = candidates.find(({name}) => {
    const previous = voters.get(name);
    return previous !== undefined && isUnresponsive(previous);
  });
  if (returning) {
    return returning;
  }
  const added = candidates.find(({name}) => !voters.has(name));
  if (!added || voters.size < target) {
    return added;
  }
  const predecessor = findPredecessor(input, added.identity);
  return predecessor !== undefined && isUnresponsive(predecessor.identity)
    ? {...added, replaces: predecessor.name}
    : undefined;
}

/**
 * Finds the voter that a new process most likely replaces: the last one to fall silent
 * before that process appeared. One that has been silent for longer tends to be away
 * only; it would lose its vote, and the quorum would keep a voter that never returns.
 */
function findPredecessor(
  {voters, findSilentSince, findAppearedAt}: VoterChangeInput,
  candidate: string,
): {readonly name: string; readonly identity: string} | undefined {
  const appearedAt = findAppearedAt(candidate);
  const silent = [...voters]
    .flatMap(([name, identity]) => {
      const since = findSilentSince(identity);
      return since === undefined ? [] : [{name, identity, since}];
    })
    .sort((left, right) => right.since - left.since);
  return silent.find(({since}) => since <= appearedAt) ?? silent.at(-1);
}
