/** The half of the agreement that elects a leader. */
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {hasQuorum} from './has_quorum';
import {RaftState} from './raft_state';

type VoteRequest = MessageOf<RaftMessage, 'vote-ask'>;
type VoteResponse = MessageOf<RaftMessage, 'vote-answer'>;

/** Asks for votes, gives them and counts them. */
export class RaftElection {
  private grantedBy = new Set<string>();

  private constructor(
    private readonly state: RaftState,
    private readonly onElected: () => void,
  ) {}

  /**
   * Creates the electing half of a node.
   *
   * @param onElected called within the step that wins an election
   * @example
   * const election = RaftElection.create(state, () => replication.becomeLeader());
   */
  static create(state: RaftState, onElected: () => void): RaftElection {
    return new RaftElection(state, onElected);
  }

  /** Stands for election when the leader was silent for too long. */
  tick(): void {
    if (this.state.now >= this.state.electionDeadline) {
      this.startElection(true);
    }
  }

  /** Answers a candidate. */
  handleVoteRequest(from: string, ask: VoteRequest): void {
    const {state} = this;
    const refusal = this.explainRefusal(from, ask);
    const isGranted = refusal === undefined;
    if (isGranted && !ask.isPreVote) {
      state.setHardState(state.term, from);
      state.electionDeadline = state.computeElectionDeadline();
    }
    const term = ask.isPreVote && isGranted ? ask.term : state.term;
    state.sendAfterPersist(from, {
      type: 'vote-answer',
      term,
      isGranted,
      isPreVote: ask.isPreVote,
      refusal,
    });
  }

  /**
   * Why a vote is not given; undefined when it is. Who votes stands in the log of
   * the one that asks: where the asked one's log lacked a change of voters, two lost
   * disks of five left no leader in 59 s. A leader that is heard keeps out those
   * that were removed.
   */
  private explainRefusal(from: string, ask: VoteRequest): string | undefined {
    const {state} = this;
    if (!this.canVoteFor(from, ask)) {
      return `term ${state.term}, voted for ${state.votedFor ?? 'nobody'}`;
    }
    if (!this.hasUpToDateLog(ask)) {
      const {lastIndex, lastTerm} = state.log;
      return `the log here goes on to ${lastIndex} of term ${lastTerm}`;
    }
    return state.hasRecentLeader() ? 'a leader was heard lately' : undefined;
  }

  /** Counts an answer, if it belongs to the election under way. */
  handleVoteResponse(from: string, answer: VoteResponse): void {
    const {state} = this;
    if (answer.isPreVote && !answer.isGranted && answer.term > state.term) {
      state.becomeFollower(answer.term, undefined, `saw term ${answer.term}`);
      return;
    }
    const awaitedRole = answer.isPreVote ? 'pre-candidate' : 'candidate';
    const awaitedTerm = answer.isPreVote ? state.term + 1 : state.term;
    if (
      state.role === awaitedRole &&
      answer.term === awaitedTerm &&
      answer.isGranted
    ) {
      this.grantedBy.add(from);
      this.countVotes();
    }
  }

  private startElection(isPreVote: boolean): void {
    const {state} = this;
    state.electionDeadline = state.computeElectionDeadline();
    if (!state.isVoter) {
      return;
    }
    state.leader = undefined;
    state.changeRole(
      isPreVote ? 'pre-candidate' : 'candidate',
      'no leader was heard in time',
    );
    this.grantedBy = new Set([state.identity]);
    if (!isPreVote) {
      state.setHardState(state.term + 1, state.identity);
    }
    const ask: RaftMessage = {
      type: 'vote-ask',
      term: isPreVote ? state.term + 1 : state.term,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      isPreVote,
    };
    for (const to of state.peers) {
      state.sendAfterPersist(to, ask);
    }
    this.countVotes();
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

  private hasUpToDateLog(ask: VoteRequest): boolean {
    const {lastTerm, lastIndex} = this.state.log;
    const isSameTerm = ask.lastTerm === lastTerm;
    return (
      ask.lastTerm > lastTerm || (isSameTerm && ask.lastIndex >= lastIndex)
    );
  }

  private canVoteFor(from: string, ask: VoteRequest): boolean {
    const {state} = this;
    if (ask.isPreVote) {
      return ask.term > state.term;
    }
    return ask.term === state.term && (state.votedFor ?? from) === from;
  }
}
