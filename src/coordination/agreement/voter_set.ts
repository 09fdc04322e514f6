/** The control processes whose votes count: name to identity. */
export type VoterSet = ReadonlyMap<string, string>;
