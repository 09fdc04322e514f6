/**
 * Raft consensus (Ongaro and Ousterhout, 2014) on a log that control processes
 * replicate, with pre-vote, check-quorum, leader leases and joint consensus for
 * changes of a single voter.
 *
 * A node is a deterministic state machine without I/O: it takes events, time and
 * random numbers, and returns the effects to perform. It is a mutable object and not
 * a reducer, because copying the log at every event would cost more than the
 * protocol itself.
 */
import {LogEntry} from '../../protocol/log_entry';
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {ElectionReport} from './election_report';
import {RaftEffects} from './raft_effects';
import {RaftElection} from './raft_election';
import {RaftEvent} from './raft_event';
import {RaftLog} from './raft_log';
import {RaftOptions} from './raft_options';
import {RaftReplication} from './raft_replication';
import {RaftState} from './raft_state';
import {VoterSet} from './voter_set';

/** One Raft node. */
export class RaftNode {
  private readonly state: RaftState;
  private readonly replication: RaftReplication;
  private readonly election: RaftElection;

  private constructor(options: RaftOptions) {
    this.state = RaftState.create(options);
    this.replication = RaftReplication.create(this.state);
    this.election = RaftElection.create(this.state, () =>
      this.replication.becomeLeader(),
    );
  }

  /**
   * Creates a follower.
   *
   * @example
   * const node = RaftNode.create(options);
   * const effects = node.step({type: 'tick'}, clock.now());
   */
  static create(options: RaftOptions): RaftNode {
    return new RaftNode(options);
  }

  get role(): RaftState['role'] {
    return this.state.role;
  }

  get term(): number {
    return this.state.term;
  }

  get lastIndex(): number {
    return this.state.log.lastIndex;
  }

  /** Current term and vote, which must survive a restart. */
  get hardState(): {term: number; votedFor: string | undefined} {
    return {term: this.state.term, votedFor: this.state.votedFor};
  }

  get commitIndex(): number {
    return this.state.commitIndex;
  }

  /** Identity of the leader, if this node knows it. */
  get leader(): string | undefined {
    return this.state.leader;
  }

  /** Identities of the other voters. */
  get others(): string[] {
    return this.state.peers;
  }

  /** Returns the identity of the voter with this name, as of the end of the log. */
  findVoter(name: string): string | undefined {
    return this.state.voterSets.at(-1)?.get(name);
  }

  /** True if the voter is known to have every committed entry on disk. */
  isCaughtUp(identity: string): boolean {
    return this.replication.getMatchIndex(identity) >= this.state.commitIndex;
  }

  /** Returns the latest voters known to be committed, by the recovered log or since the restart. */
  listCommittedVoters(): VoterSet {
    return this.state.voterSets[0];
  }

  /** Returns the voters as of an entry. */
  listVotersAt(index: number): VoterSet {
    return this.state.log.findVotersAt(index);
  }

  /** Returns all entries after the snapshot. */
  listEntries(): LogEntry[] {
    const {log} = this.state;
    return log.slice(log.firstIndex, log.lastIndex);
  }

  /**
   * True from the proposal of a voter change until a majority has on disk that it is
   * committed. A restarted node without that record also needs a majority of the old
   * voters. If the change counted as finished earlier, a loss of all power and two disks
   * could leave the quorum unable to elect a leader.
   */
  get isChangingVoters(): boolean {
    const {log, commitIndex, voterSets} = this.state;
    return voterSets.length > 1 || !log.isVoterChangeSettled(commitIndex);
  }

  /** Returns when this node last heard from a voter by replication; undefined if it never did. */
  findLastContactAt(identity: string): number | undefined {
    return this.state.lastContacts.get(identity);
  }

  /** Describes the current state of the leader election, for logs and operators. */
  describeElection(now: number): ElectionReport {
    const {state} = this;
    const {role, term, log, commitIndex, leader, voterSets} = state;
    return {
      role,
      term,
      lastIndex: log.lastIndex,
      lastTerm: log.lastTerm,
      commitIndex,
      leader,
      leaderSilentMs:
        role === 'leader' ? 0 : Math.max(0, now - state.lastLeaderContactAt),
      voterSets,
      votes: this.election.listVotes(now),
    };
  }

  /** True while no other node can have become leader. Check it right before sending a response. */
  hasLease(now: number, trustedSince?: number): boolean {
    return this.state.hasLease(now, trustedSince);
  }

  /** Handles one event and returns the effects to perform. */
  step(event: RaftEvent, now: number): RaftEffects {
    this.state.startStep(now);
    this.handlers[event.type](event as never);
    return this.state.effects;
  }

  /** Resets the log to a snapshot from the leader, once that snapshot is on disk. */
  finishSnapshotInstall(position: RaftLog['snapshot']): void {
    this.state.log.reset(position);
    this.state.commitIndex = position.index;
    this.state.persistedIndex = position.index;
  }

  private readonly handlers: {
    [T in RaftEvent['type']]: (event: MessageOf<RaftEvent, T>) => void;
  } = {
    tick: () =>
      (this.role === 'leader' ? this.replication : this.election).tick(),
    message: ({from, message}) => this.handleMessage(from, message),
    propose: ({commands}) => this.replication.propose(commands),
    persisted: ({index, term}) => this.replication.handlePersisted(index, term),
    compact: ({index}) => this.state.log.compact(index),
  };

  private readonly messageHandlers: {
    [T in RaftMessage['type']]: (
      from: string,
      message: MessageOf<RaftMessage, T>,
    ) => void;
  } = {
    'vote-ask': (from, message) =>
      this.election.handleVoteRequest(from, message),
    'vote-answer': (from, message) =>
      this.election.handleVoteResponse(from, message),
    'append-ask': (from, message) =>
      this.replication.handleAppendRequest(from, message),
    'append-answer': (from, message) =>
      this.replication.handleAppendResponse(from, message),
    'snapshot-ask': (from, message) =>
      this.replication.handleSnapshotRequest(from, message),
  };

  private handleMessage(from: string, message: RaftMessage): void {
    const isPreVote = 'isPreVote' in message && message.isPreVote;
    // A candidate that lost contact with a live leader must not depose it by a newer term.
    const isDisruptive =
      message.type === 'vote-ask' && this.state.hasRecentLeader();
    if (message.term > this.term && !isPreVote && !isDisruptive) {
      this.state.becomeFollower(
        message.term,
        undefined,
        `received a message of the newer term ${message.term}`,
      );
    }
    this.messageHandlers[message.type](from, message as never);
  }
}
