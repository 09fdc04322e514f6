/** What a node of the agreement knows, and the steps that both of its halves share. */
import {LogEntry} from '../../protocol/log_entry';
import {RaftMessage} from '../../protocol/raft_message';
import {hasQuorum} from './has_quorum';
import {RaftEffects} from './raft_effects';
import {RaftLog} from './raft_log';
import {RaftOptions} from './raft_options';
import {RaftProgress} from './raft_progress';
import {VoterSet} from './voter_set';

type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';
type Outgoing = RaftEffects['messages'][number];

/** Effects while they are collected. */
interface CollectedEffects {
  persist?: RaftEffects['persist'];
  messages: Outgoing[];
  messagesAfterPersist: Outgoing[];
  committedEntries: LogEntry[];
  snapshotToInstall?: RaftEffects['snapshotToInstall'];
  roleChange?: RaftEffects['roleChange'];
}

/** The state of one node. */
export class RaftState {
  readonly log: RaftLog;
  readonly identity: string;
  term: number;
  votedFor: string | undefined;
  commitIndex: number;
  role: Role = 'follower';
  leader: string | undefined;
  /** Entries up to here are on this node's disk. */
  persistedIndex: number;
  electionDeadline: number;
  lastLeaderContactAt: number;
  now: number;
  readonly progress = new Map<string, RaftProgress>();
  effects: CollectedEffects = createEffects();

  private constructor(readonly options: RaftOptions) {
    this.log = options.log;
    this.identity = options.identity;
    this.term = options.term;
    this.votedFor = options.votedFor;
    this.commitIndex = options.commitIndex;
    this.persistedIndex = options.log.lastIndex;
    this.now = options.now;
    // A restarted node forgot when it last heard the leader: at the latest when
    // its process ended, which was before this one began. Counted from the start of
    // the process and not of the node, a leader stood 0.2 s after the last program
    // listened, and not 0.7 s, when all were killed (logs of one day each).
    const {startedAt = options.now, timing, random} = options;
    this.lastLeaderContactAt = startedAt;
    this.electionDeadline = Math.max(
      startedAt + timing.electionMs * (1 + random()),
      // Nodes that are created late and at the same moment do not stand at the same moment.
      options.now + timing.heartbeatMs * random(),
    );
  }

  /**
   * Creates the state of a follower.
   *
   * @example
   * const state = RaftState.create(options);
   */
  static create(options: RaftOptions): RaftState {
    return new RaftState(options);
  }

  /** Begins one step. */
  startStep(now: number): void {
    this.now = now;
    this.effects = createEffects();
  }

  get voterSets(): VoterSet[] {
    const committed = Math.max(
      this.commitIndex,
      this.options.knownCommitIndex ?? 0,
    );
    return this.log.listActiveVoterSets(committed);
  }

  /** Identities of the other voters. */
  get peers(): string[] {
    const identities = this.voterSets.flatMap(voters => [...voters.values()]);
    return [...new Set(identities)].filter(
      identity => identity !== this.identity,
    );
  }

  get isVoter(): boolean {
    return this.voterSets.some(voters =>
      [...voters.values()].includes(this.identity),
    );
  }

  /** Steps back, into a newer term if `term` is newer. */
  becomeFollower(
    term: number,
    leader: string | undefined,
    reason: string,
  ): void {
    if (term > this.term) {
      this.setHardState(term, undefined);
    }
    const isChange = this.role !== 'follower' || this.leader !== leader;
    this.leader = leader;
    if (isChange) {
      this.changeRole('follower', reason);
    }
    this.electionDeadline = this.computeElectionDeadline();
  }

  changeRole(role: Role, reason: string): void {
    this.role = role;
    this.effects.roleChange = {role, reason};
  }

  setHardState(term: number, votedFor: string | undefined): void {
    if (term === this.term && votedFor === this.votedFor) {
      return;
    }
    this.term = term;
    this.votedFor = votedFor;
    this.effects.persist = {
      entries: [],
      ...this.effects.persist,
      hardState: {term, votedFor},
    };
  }

  persistEntries(entries: readonly LogEntry[], truncateFrom?: number): void {
    this.effects.persist = {...this.effects.persist, entries, truncateFrom};
  }

  send(to: string, message: RaftMessage): void {
    this.effects.messages.push({to, message});
  }

  sendAfterPersist(to: string, message: RaftMessage): void {
    this.effects.messagesAfterPersist.push({to, message});
  }

  /** Notes that entries up to `index` are committed. */
  advanceCommitIndex(index: number): void {
    const target = Math.min(index, this.log.lastIndex);
    if (target <= this.commitIndex) {
      return;
    }
    const count = target - this.commitIndex;
    this.effects.committedEntries.push(
      ...this.log.slice(this.commitIndex + 1, count),
    );
    this.commitIndex = target;
  }

  getProgress(identity: string): RaftProgress {
    let progress = this.progress.get(identity);
    if (!progress) {
      progress = RaftProgress.create(this.log.lastIndex + 1);
      this.progress.set(identity, progress);
    }
    return progress;
  }

  /** A quorum answered a round that left at `since` or later. */
  hasQuorumContactSince(since: number): boolean {
    return hasQuorum(this.voterSets, identity => {
      const contactedAt =
        this.progress.get(identity)?.lastContactAt ?? -Infinity;
      return identity === this.identity || contactedAt >= since;
    });
  }

  /**
   * True while no other node can have become leader.
   *
   * @param trustedSince rounds that left before it prove nothing
   */
  hasLease(now: number, trustedSince = -Infinity): boolean {
    const leaseBegan = now - this.options.timing.leaseMs;
    const since = Math.max(leaseBegan, trustedSince);
    return this.role === 'leader' && this.hasQuorumContactSince(since);
  }

  /** A leader was heard so lately that nobody else may be voted for. */
  hasRecentLeader(): boolean {
    if (this.role === 'leader') {
      return this.hasLease(this.now);
    }
    return this.now - this.lastLeaderContactAt < this.options.timing.electionMs;
  }

  computeElectionDeadline(): number {
    return (
      this.now + this.options.timing.electionMs * (1 + this.options.random())
    );
  }
}

function createEffects(): CollectedEffects {
  return {messages: [], messagesAfterPersist: [], committedEntries: []};
}
