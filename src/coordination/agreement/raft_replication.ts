/** The half of the agreement that copies the log and commits it. */
import {ControlCommand} from '../../protocol/control_command';
import {LogEntry} from '../../protocol/log_entry';
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {estimateEntryBytes} from './estimate_entry_bytes';
import {hasQuorum} from './has_quorum';
import {RaftProgress} from './raft_progress';
import {RaftState} from './raft_state';

const MAX_ENTRIES_PER_MESSAGE = 256;
/** More would hold up the heartbeats behind it; a single entry may be larger. */
const MAX_BYTES_PER_MESSAGE = 1024 * 1024;

type AppendRequest = MessageOf<RaftMessage, 'append-ask'>;
type AppendResponse = MessageOf<RaftMessage, 'append-answer'>;
type SnapshotRequest = MessageOf<RaftMessage, 'snapshot-ask'>;

/** Sends entries as leader, stores them as follower. */
export class RaftReplication {
  private round = 0;
  private nextHeartbeatAt = 0;
  private electedAt = -Infinity;

  private constructor(private readonly state: RaftState) {}

  /**
   * Creates the replicating half of a node.
   *
   * @example
   * const replication = RaftReplication.create(state);
   */
  static create(state: RaftState): RaftReplication {
    return new RaftReplication(state);
  }

  /** Takes the lead after a won election. */
  becomeLeader(): void {
    const {state} = this;
    state.changeRole('leader', `elected in term ${state.term}`);
    state.leader = state.identity;
    state.progress.clear();
    this.electedAt = state.now;
    this.propose([{type: 'start-term', time: 0}]);
  }

  /** Keeps followers informed; steps down when a quorum was silent for too long. */
  tick(): void {
    const {state} = this;
    const since = state.now - state.options.timing.electionMs;
    if (this.electedAt < since && !state.hasQuorumContactSince(since)) {
      state.becomeFollower(state.term, undefined, 'no quorum answered in time');
      return;
    }
    if (state.now >= this.nextHeartbeatAt) {
      this.sendAppendRound();
    }
  }

  /** Appends commands to the log; ignored by a node that does not lead. */
  propose(commands: readonly ControlCommand[]): void {
    const {state} = this;
    if (state.role !== 'leader') {
      return;
    }
    const firstIndex = state.log.lastIndex + 1;
    const entries = commands.map((command, offset) => ({
      index: firstIndex + offset,
      term: state.term,
      command,
    }));
    state.log.append(entries);
    state.persistEntries(entries);
    this.sendAppendRound();
  }

  /** Stores what the leader sent. */
  handleAppendRequest(from: string, ask: AppendRequest): void {
    const {state} = this;
    if (ask.term < state.term) {
      this.sendAppendResponse(from, false, 0, ask.round);
      return;
    }
    this.acceptLeader(from);
    const knownTerm = state.log.getTerm(ask.previousIndex);
    const isBeforeSnapshot = ask.previousIndex < state.log.snapshot.index;
    if (!isBeforeSnapshot && knownTerm !== ask.previousTerm) {
      // Committed entries always match; beyond a conflict nothing is known.
      const hint =
        knownTerm === undefined ? state.log.lastIndex : state.commitIndex;
      this.sendAppendResponse(from, false, hint, ask.round);
      return;
    }
    this.appendMissingEntries(ask.entries);
    const matchIndex = ask.previousIndex + ask.entries.length;
    state.advanceCommitIndex(Math.min(ask.commitIndex, matchIndex));
    this.sendAppendResponse(from, true, matchIndex, ask.round);
  }

  /** Takes a whole state from the leader when the log no longer reaches back. */
  handleSnapshotRequest(from: string, ask: SnapshotRequest): void {
    const {state} = this;
    if (ask.term < state.term) {
      this.sendAppendResponse(from, false, 0, ask.round);
      return;
    }
    this.acceptLeader(from);
    if (ask.lastIndex > state.commitIndex) {
      const {lastIndex: index, lastTerm: term, voters, state: tables} = ask;
      state.effects.snapshotToInstall = {index, term, voters, state: tables};
    }
    this.sendAppendResponse(
      from,
      true,
      Math.max(ask.lastIndex, state.commitIndex),
      ask.round,
    );
  }

  /** Notes how far a follower has come. */
  handleAppendResponse(from: string, answer: AppendResponse): void {
    const {state} = this;
    if (state.role !== 'leader' || answer.term !== state.term) {
      return;
    }
    const progress = state.getProgress(from);
    progress.recordAnsweredRound(answer.round);
    if (!answer.isMatch) {
      const hinted = Math.min(progress.nextIndex - 1, answer.matchIndex + 1);
      progress.nextIndex = Math.max(1, progress.matchIndex + 1, hinted);
      return;
    }
    progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    this.updateCommitIndex();
    if (progress.nextIndex <= state.log.lastIndex) {
      this.sendAppend(from);
    }
  }

  /** Counts this node's own disk. */
  handlePersisted(index: number, term: number): void {
    const {state} = this;
    if (state.log.getTerm(index) === term) {
      state.persistedIndex = Math.max(state.persistedIndex, index);
    }
    if (state.role === 'leader') {
      this.updateCommitIndex();
    }
  }

  private acceptLeader(from: string): void {
    const {state} = this;
    if (state.role !== 'follower' || state.leader !== from) {
      state.becomeFollower(state.term, from, `follows ${from}`);
    }
    state.lastLeaderContactAt = state.now;
    state.electionDeadline = state.computeElectionDeadline();
  }

  private appendMissingEntries(entries: readonly LogEntry[]): void {
    const {log} = this.state;
    const firstNew = entries.findIndex(
      entry =>
        entry.index > log.snapshot.index &&
        log.getTerm(entry.index) !== entry.term,
    );
    if (firstNew < 0) {
      return;
    }
    const added = entries.slice(firstNew);
    const firstIndex = added[0].index;
    const isConflict = firstIndex <= log.lastIndex;
    if (isConflict) {
      log.truncate(firstIndex);
      this.state.persistedIndex = Math.min(
        this.state.persistedIndex,
        firstIndex - 1,
      );
    }
    log.append(added);
    this.state.persistEntries(added, isConflict ? firstIndex : undefined);
  }

  private sendAppendRound(): void {
    this.round += 1;
    this.nextHeartbeatAt =
      this.state.now + this.state.options.timing.heartbeatMs;
    for (const to of this.state.peers) {
      this.sendAppend(to);
    }
  }

  private sendAppend(to: string): void {
    const {state} = this;
    const progress = state.getProgress(to);
    progress.recordSentRound(this.round, state.now);
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = state.log.getTerm(previousIndex);
    if (previousTerm === undefined) {
      this.sendSnapshot(to, progress);
      return;
    }
    const entries = selectFittingEntries(
      state.log.slice(progress.nextIndex, MAX_ENTRIES_PER_MESSAGE),
    );
    progress.nextIndex += entries.length;
    state.send(to, {
      type: 'append-ask',
      term: state.term,
      previousIndex,
      previousTerm,
      entries,
      commitIndex: state.commitIndex,
      round: this.round,
    });
  }

  private sendSnapshot(to: string, progress: RaftProgress): void {
    const {index, term, voters} = this.state.log.snapshot;
    progress.nextIndex = index + 1;
    this.state.send(to, {
      type: 'snapshot-ask',
      term: this.state.term,
      lastIndex: index,
      lastTerm: term,
      voters: Object.fromEntries(voters),
      state: this.state.options.readSnapshot(),
      round: this.round,
    });
  }

  private sendAppendResponse(
    to: string,
    isMatch: boolean,
    matchIndex: number,
    round: number,
  ): void {
    this.state.sendAfterPersist(to, {
      type: 'append-answer',
      term: this.state.term,
      isMatch,
      matchIndex,
      round,
    });
  }

  private updateCommitIndex(): void {
    const {state} = this;
    const candidates = [state.identity, ...state.peers].map(id =>
      this.getMatchIndex(id),
    );
    const reached = candidates
      .filter(
        index =>
          index > state.commitIndex && state.log.getTerm(index) === state.term,
      )
      .sort((left, right) => right - left)
      .find(index =>
        hasQuorum(state.voterSets, id => this.getMatchIndex(id) >= index),
      );
    if (reached === undefined) {
      return;
    }
    state.advanceCommitIndex(reached);
    this.proposeSettleVoters();
  }

  /** Tells in the log that the changes of voters in it are committed, so that disks know it. */
  private proposeSettleVoters(): void {
    const {log, commitIndex} = this.state;
    const unsettled = log.findUnsettledVoterChange();
    if (unsettled !== undefined && unsettled <= commitIndex) {
      this.propose([{type: 'settle-voters', time: 0}]);
    }
  }

  /** The last entry that a voter is known to have on disk. */
  getMatchIndex(identity: string): number {
    if (identity === this.state.identity) {
      return this.state.persistedIndex;
    }
    return this.state.progress.get(identity)?.matchIndex ?? 0;
  }
}

/** The first entries that fit into one message, one at least. */
function selectFittingEntries(entries: readonly LogEntry[]): LogEntry[] {
  let bytes = 0;
  return entries.filter((entry, at) => {
    bytes += estimateEntryBytes(entry);
    return at === 0 || bytes <= MAX_BYTES_PER_MESSAGE;
  });
}
