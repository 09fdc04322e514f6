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
  /** Availability zone of the process with this identity; undefined if it is not known. */
  readonly findZone: (identity: string) => string | undefined;
  /** The current time, on the same clock. */
  readonly now: number;
}

/**
 * Time for which a candidate must have asked before it replaces a voter. The voter that
 * it succeeds may have stopped just before it, and silence takes two probes to show.
 */
const REPLACES_AFTER_MS = 1_200;

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
 * const change = decideVoterChange({voters, candidates, target: 5, isUnresponsive, findSilentSince, findAppearedAt, findZone, now});
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

interface SilentVoter {
  readonly name: string;
  readonly identity: string;
  readonly since: number;
}

/**
 * Finds the voter that a new process replaces. A silent voter of its own availability
 * zone is preferred: voters are spread over zones, so a successor starts in the zone of
 * its predecessor. Among several, it is the last one to fall silent before the process
 * appeared; one that has been silent for longer tends to be away only. Waiting until one
 * of them responds is no better than a wrong choice: the quorum lacks both meanwhile.
 */
function findPredecessor(
  input: VoterChangeInput,
  candidate: string,
): SilentVoter | undefined {
  const appearedAt = input.findAppearedAt(candidate);
  if (input.now - appearedAt < REPLACES_AFTER_MS) {
    return undefined;
  }
  const silent = listSilentVoters(input);
  const zone = input.findZone(candidate);
  const neighbors = silent.filter(
    ({identity}) => zone !== undefined && input.findZone(identity) === zone,
  );
  const eligible = neighbors.length > 0 ? neighbors : silent;
  return eligible.find(({since}) => since <= appearedAt) ?? eligible.at(-1);
}

/** Lists the voters that do not respond, the last one to fall silent first. */
function listSilentVoters({
  voters,
  findSilentSince,
}: VoterChangeInput): SilentVoter[] {
  return [...voters]
    .flatMap(([name, identity]) => {
      const since = findSilentSince(identity);
      return since === undefined ? [] : [{name, identity, since}];
    })
    .sort((left, right) => right.since - left.since);
}
