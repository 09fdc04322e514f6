/**
 * Agreement on a log between control processes, after the Raft paper (Ongaro
 * and Ousterhout, 2014) with pre-vote, a leader that checks its quorum, and
 * voters that are replaced one at a time under both quorums.
 *
 * A node is a deterministic machine: time and randomness come in, effects go
 * out, and nothing else is touched. It is an object and not a fold, because a
 * log copied at every event would cost more than the agreement itself.
 */
import {LogEntry} from '../../protocol/log_entry';
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {RaftEffects} from './raft_effects';
import {RaftElection} from './raft_election';
import {RaftEvent} from './raft_event';
import {RaftLog} from './raft_log';
import {RaftOptions} from './raft_options';
import {RaftReplication} from './raft_replication';
import {RaftState} from './raft_state';
import {VoterSet} from './voter_set';

/** One node of the agreement. */
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

  /** Term and vote, as they must survive a restart. */
  get hardState(): {term: number; votedFor: string | undefined} {
    return {term: this.state.term, votedFor: this.state.votedFor};
  }

  get commitIndex(): number {
    return this.state.commitIndex;
  }

  /** Identity of the leader, as far as this node knows. */
  get leader(): string | undefined {
    return this.state.leader;
  }

  /** Identities of the voters that this node talks to. */
  get peers(): string[] {
    return this.state.peers;
  }

  /** Identity of the voter with this name, as of the end of the log. */
  findVoter(name: string): string | undefined {
    return this.state.voterSets.at(-1)?.get(name);
  }

  /** True for a voter that is known to hold everything committed. */
  isCaughtUp(identity: string): boolean {
    return this.replication.getMatchIndex(identity) >= this.state.commitIndex;
  }

  /** The newest voters that are known to be committed, from this disk or since. */
  listCommittedVoters(): VoterSet {
    return this.state.voterSets[0];
  }

  /** Committed voters as of an entry. */
  listVotersAt(index: number): VoterSet {
    return this.state.log.findVotersAt(index);
  }

  /** Every entry behind the snapshot. */
  listEntries(): LogEntry[] {
    const {log} = this.state;
    return log.slice(log.firstIndex, log.lastIndex);
  }

  /**
   * A change of voters is proposed, and that it is over is not on a majority of disks
   * yet. Whoever holds nothing that says so would ask the old voters for a majority,
   * too: after a loss of all power and two disks no leader came.
   */
  get isChangingVoters(): boolean {
    const {log, commitIndex, voterSets} = this.state;
    return voterSets.length > 1 || !log.isVoterChangeSettled(commitIndex);
  }

  /** True while no other node can have become leader. Ask right before answering. */
  hasLease(now: number, trustedSince?: number): boolean {
    return this.state.hasLease(now, trustedSince);
  }

  /** Handles one event and returns what to do about it. */
  step(event: RaftEvent, now: number): RaftEffects {
    this.state.startStep(now);
    this.handlers[event.type](event as never);
    return this.state.effects;
  }

  /** Takes over an installed snapshot, once its state is on disk. */
  finishSnapshotInstall(start: RaftLog['snapshot']): void {
    this.state.log.reset(start);
    this.state.commitIndex = start.index;
    this.state.persistedIndex = start.index;
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
    const isTrial = 'isPreVote' in message && message.isPreVote;
    // A candidate that missed a living leader must not raise everybody's term.
    const isPremature =
      message.type === 'vote-ask' && this.state.hasRecentLeader();
    if (message.term > this.term && !isTrial && !isPremature) {
      this.state.becomeFollower(
        message.term,
        undefined,
        `saw term ${message.term}`,
      );
    }
    this.messageHandlers[message.type](from, message as never);
  }
}
