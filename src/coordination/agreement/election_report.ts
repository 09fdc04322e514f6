import {VoterSet} from './voter_set';

/** The latest answer of a voter to a request for its vote. */
interface VoteReport {
  /** Why the vote was refused; undefined when it was granted. */
  readonly refusal: string | undefined;
  /** Time since the answer arrived, in milliseconds. */
  readonly ageMs: number;
}

/** What a node knows about the election of a leader, for logs and operators. */
export interface ElectionReport {
  readonly role: string;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly commitIndex: number;
  /** The leader of which this node heard last, unless it has started an election since. */
  readonly leader: string | undefined;
  /** Time since a leader was heard, in milliseconds; 0 on a leader. */
  readonly leaderSilentMs: number;
  /** A majority of each of these must agree; there is more than one while a voter change is not committed. */
  readonly voterSets: readonly VoterSet[];
  /** By identity; without voters that have not answered since this node started. */
  readonly votes: ReadonlyMap<string, VoteReport>;
}
