/** Voting members of the quorum, identity by name. */
export type VoterSet = ReadonlyMap<string, string>;
