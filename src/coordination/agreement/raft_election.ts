/** Leader election of Raft, with a pre-vote phase. */
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {ElectionReport} from './election_report';
import {hasQuorum} from './has_quorum';
import {RaftState} from './raft_state';

type VoteRequest = MessageOf<RaftMessage, 'vote-ask'>;
type VoteResponse = MessageOf<RaftMessage, 'vote-answer'>;

/** Requests, grants and counts votes. */
export class RaftElection {
  /** Identities that granted their vote in the current election. */
  private grantedBy = new Set<string>();
  /** The latest answer of each voter; `refusal` is undefined for a granted vote. */
  private readonly answers = new Map<
    string,
    {readonly refusal: string | undefined; readonly at: number}
  >();

  private constructor(
    private readonly state: RaftState,
    private readonly onElected: () => void,
  ) {}

  /**
   * Creates the election module of a node.
   *
   * @param onElected called within the step in which this node wins an election
   * @example
   * const election = RaftElection.create(state, () => replication.becomeLeader());
   */
  static create(state: RaftState, onElected: () => void): RaftElection {
    return new RaftElection(state, onElected);
  }

  /** Starts a pre-vote when the election timeout has passed. */
  tick(): void {
    if (this.state.now >= this.state.electionDeadline) {
      this.startElection(true);
    }
  }

  /** Grants or refuses a vote or pre-vote. */
  handleVoteRequest(from: string, request: VoteRequest): void {
    const {state} = this;
    const refusal = this.explainRefusal(from, request);
    const isGranted = refusal === undefined;
    if (isGranted && !request.isPreVote) {
      state.setHardState(state.term, from);
      state.electionDeadline = state.computeElectionDeadline();
    }
    const term = request.isPreVote && isGranted ? request.term : state.term;
    state.sendAfterPersist(from, {
      type: 'vote-answer',
      term,
      isGranted,
      isPreVote: request.isPreVote,
      refusal,
    });
  }

  /**
   * Returns why a vote is refused; undefined when it is granted. Whether the candidate
   * is a voter is not checked: it counts by the candidate's own log, as this node may
   * not have received the latest voter change. With such a check, the loss of two of
   * five disks can leave the quorum without a leader (observed: for 59 s). Removed voters
   * cannot disturb the quorum, since votes are refused while there is a leader.
   */
  private explainRefusal(
    from: string,
    request: VoteRequest,
  ): string | undefined {
    const {state} = this;
    if (!this.canVoteFor(from, request)) {
      return `term ${state.term}, voted for ${state.votedFor ?? 'nobody'}`;
    }
    if (!this.hasUpToDateLog(request)) {
      const {lastIndex, lastTerm} = state.log;
      return `the log here goes on to ${lastIndex} of term ${lastTerm}`;
    }
    return state.hasRecentLeader() ? 'a leader was heard lately' : undefined;
  }

  /** Returns the latest answer of each current voter, for diagnosis. */
  listVotes(now: number): ElectionReport['votes'] {
    const answers = [...this.answers].filter(([identity]) =>
      this.state.peers.includes(identity),
    );
    return new Map(
      answers.map(([identity, {refusal, at}]) => [
        identity,
        {refusal, ageMs: now - at},
      ]),
    );
  }

  /** Counts a vote if it belongs to the current election. */
  handleVoteResponse(from: string, response: VoteResponse): void {
    const {state} = this;
    const refusal = response.isGranted
      ? undefined
      : (response.refusal ?? 'no reason given');
    this.answers.set(from, {refusal, at: state.now});
    if (
      response.isPreVote &&
      !response.isGranted &&
      response.term > state.term
    ) {
      state.becomeFollower(
        response.term,
        undefined,
        `received a message of the newer term ${response.term}`,
      );
      return;
    }
    const expectedRole = response.isPreVote ? 'pre-candidate' : 'candidate';
    const expectedTerm = response.isPreVote ? state.term + 1 : state.term;
    if (
      state.role === expectedRole &&
      response.term === expectedTerm &&
      response.isGranted
    ) {
      this.grantedBy.add(from);
      this.countVotes();
    }
  }

  /** Starts the pre-vote phase, or the election itself with a new term. */
  private startElection(isPreVote: boolean): void {
    const {state} = this;
    state.electionDeadline = state.computeElectionDeadline();
    if (!state.isVoter) {
      return;
    }
    state.leader = undefined;
    state.changeRole(
      isPreVote ? 'pre-candidate' : 'candidate',
      'election timeout: no message from a leader',
    );
    this.grantedBy = new Set([state.identity]);
    this.dropFormerVoters();
    if (!isPreVote) {
      state.setHardState(state.term + 1, state.identity);
    }
    const request: RaftMessage = {
      type: 'vote-ask',
      term: isPreVote ? state.term + 1 : state.term,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      isPreVote,
    };
    for (const to of state.peers) {
      state.sendAfterPersist(to, request);
    }
    this.countVotes();
  }

  /** Bounds what is kept of each voter by their number. */
  private dropFormerVoters(): void {
    const {peers, lastContacts} = this.state;
    for (const known of [this.answers, lastContacts]) {
      [...known.keys()]
        .filter(identity => !peers.includes(identity))
        .forEach(identity => known.delete(identity));
    }
  }

  private countVotes(): void {
    if (
      !hasQuorum(this.state.voterSets, identity => this.grantedBy.has(identity))
    ) {
      return;
    }
    if (this.state.role === 'pre-candidate') {
      this.startElection(false);
    } else {
      this.onElected();
    }
  }

  /** Returns whether the candidate's log is at least as up to date as this node's. */
  private hasUpToDateLog(request: VoteRequest): boolean {
    const {lastTerm, lastIndex} = this.state.log;
    const isSameTerm = request.lastTerm === lastTerm;
    return (
      request.lastTerm > lastTerm ||
      (isSameTerm && request.lastIndex >= lastIndex)
    );
  }

  /** Returns whether the term allows a vote: a pre-vote needs a newer term, and a term has one vote. */
  private canVoteFor(from: string, request: VoteRequest): boolean {
    const {state} = this;
    if (request.isPreVote) {
      return request.term > state.term;
    }
    return request.term === state.term && (state.votedFor ?? from) === from;
  }
}
