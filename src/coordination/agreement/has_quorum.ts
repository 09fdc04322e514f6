import {VoterSet} from './voter_set';

/**
 * Returns whether a majority of each voter set agrees. While a voter change is not
 * committed, majorities of both the old and the new set are required.
 *
 * @param agrees whether the voter with the given identity agrees
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
