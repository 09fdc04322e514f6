import {VoterSet} from './voter_set';

/**
 * Tells whether a majority of every voter set agrees. Two sets count while a
 * replacement of a voter is not committed yet.
 *
 * @param agrees whether a voter, named by identity, agrees
 * @example
 * hasQuorum([voters], identity => granted.has(identity));
 */
export function hasQuorum(
  voterSets: readonly VoterSet[],
  agrees: (identity: string) => boolean,
): boolean {
  return voterSets.every(voters => {
    const agreeing = [...voters.values()].filter(agrees).length;
    return agreeing > voters.size / 2;
  });
}
