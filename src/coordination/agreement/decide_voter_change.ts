/** A process that asks to vote, and what is known of the present voters. */
interface VoterChangeInput {
  /** Committed voters: name to identity. */
  readonly voters: ReadonlyMap<string, string>;
  /** Identities of processes that want to vote and can be reached. */
  readonly candidates: readonly string[];
  /** Voters that the quorum should have. */
  readonly target: number;
  /** True for the identity of a voter that has been silent for long. */
  readonly isUnresponsive: (identity: string) => boolean;
}

/** One step: at most one voter comes and one goes. */
interface VoterChange {
  readonly name: string;
  readonly identity: string;
  readonly replaces?: string;
}

/**
 * Decides the next change of voters: first a process that came back with
 * another disk, then a missing voter, then the place of a silent one.
 *
 * @example
 * const change = decideVoterChange({voters, candidates, target: 5, isSilent});
 */
export function decideVoterChange(
  situation: VoterChangeInput,
): VoterChange | undefined {
  const {voters, target, isUnresponsive: isSilent} = situation;
  const candidates = situation.candidates
    .map(identity => ({name: identity.split('/')[0], identity}))
    .filter(({name, identity}) => voters.get(name) !== identity);
  const returned = candidates.find(({name}) => {
    const known = voters.get(name);
    return known !== undefined && isSilent(known);
  });
  if (returned) {
    return returned;
  }
  const added = candidates.find(({name}) => !voters.has(name));
  if (!added || voters.size < target) {
    return added;
  }
  const silent = [...voters].find(([, identity]) => isSilent(identity));
  return silent && {...added, replaces: silent[0]};
}
