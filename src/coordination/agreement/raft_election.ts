/** The half of the agreement that elects a leader. */
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {hasQuorum} from './has_quorum';
import {RaftState} from './raft_state';

type VoteAsk = MessageOf<RaftMessage, 'vote-ask'>;
type VoteAnswer = MessageOf<RaftMessage, 'vote-answer'>;

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
    if (this.state.now >= this.state.electionAt) {
      this.start(true);
    }
  }

  /** Answers a candidate. */
  handleAsk(from: string, ask: VoteAsk): void {
    const {state} = this;
    const refusal = this.findRefusal(from, ask);
    const isGranted = refusal === undefined;
    if (isGranted && !ask.isPreVote) {
      state.setHardState(state.term, from);
      state.electionAt = state.computeElectionTime();
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
  private findRefusal(from: string, ask: VoteAsk): string | undefined {
    const {state} = this;
    if (!this.isFreeFor(from, ask)) {
      return `term ${state.term}, voted for ${state.votedFor ?? 'nobody'}`;
    }
    if (!this.isUpToDate(ask)) {
      const {lastIndex, lastTerm} = state.log;
      return `the log here goes on to ${lastIndex} of term ${lastTerm}`;
    }
    return state.hasRecentLeader() ? 'a leader was heard lately' : undefined;
  }

  /** Counts an answer, if it belongs to the election under way. */
  handleAnswer(from: string, answer: VoteAnswer): void {
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
      this.count();
    }
  }

  private start(isPreVote: boolean): void {
    const {state} = this;
    state.electionAt = state.computeElectionTime();
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
    for (const to of state.others) {
      state.sendAfterPersist(to, ask);
    }
    this.count();
  }

  private count(): void {
    if (
      !hasQuorum(this.state.voterSets, identity => this.grantedBy.has(identity))
    ) {
      return;
    }
    if (this.state.role === 'pre-candidate') {
      this.start(false);
    } else {
      this.onElected();
    }
  }

  private isUpToDate(ask: VoteAsk): boolean {
    const {lastTerm, lastIndex} = this.state.log;
    const isSameTerm = ask.lastTerm === lastTerm;
    return (
      ask.lastTerm > lastTerm || (isSameTerm && ask.lastIndex >= lastIndex)
    );
  }

  private isFreeFor(from: string, ask: VoteAsk): boolean {
    const {state} = this;
    if (ask.isPreVote) {
      return ask.term > state.term;
    }
    return ask.term === state.term && (state.votedFor ?? from) === from;
  }
}
