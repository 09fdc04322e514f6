/** Log replication of Raft. */
import {ControlCommand} from '../../protocol/control_command';
import {LogEntry} from '../../protocol/log_entry';
import {MessageOf} from '../../protocol/message_of';
import {RaftMessage} from '../../protocol/raft_message';
import {estimateEntryBytes} from './estimate_entry_bytes';
import {hasQuorum} from './has_quorum';
import {RaftProgress} from './raft_progress';
import {RaftState} from './raft_state';

const MAX_ENTRIES_PER_MESSAGE = 256;
/** A larger message would delay the heartbeats behind it; a single entry may still exceed this. */
const MAX_BYTES_PER_MESSAGE = 1024 * 1024;

type AppendRequest = MessageOf<RaftMessage, 'append-ask'>;
type AppendResponse = MessageOf<RaftMessage, 'append-answer'>;
type SnapshotRequest = MessageOf<RaftMessage, 'snapshot-ask'>;

/** Sends entries as the leader and appends them as a follower. */
export class RaftReplication {
  /** Number of the latest round of append messages. */
  private round = 0;
  private nextHeartbeatAt = 0;
  private electedAt = -Infinity;

  private constructor(private readonly state: RaftState) {}

  /**
   * Creates the replication module of a node.
   *
   * @example
   * const replication = RaftReplication.create(state);
   */
  static create(state: RaftState): RaftReplication {
    return new RaftReplication(state);
  }

  /** Becomes leader after a won election. */
  becomeLeader(): void {
    const {state} = this;
    state.changeRole('leader', `elected in term ${state.term}`);
    state.leader = state.identity;
    state.progress.clear();
    this.electedAt = state.now;
    this.propose([{type: 'start-term', time: 0}]);
  }

  /** Sends heartbeats; steps down when a quorum has not answered for the election timeout. */
  tick(): void {
    const {state} = this;
    const since = state.now - state.options.timing.electionMs;
    if (this.electedAt < since && !state.hasQuorumContactSince(since)) {
      state.becomeFollower(
        state.term,
        undefined,
        'no answer from a quorum within the election timeout',
      );
      return;
    }
    if (state.now >= this.nextHeartbeatAt) {
      this.sendAppendRound();
    }
  }

  /** Appends commands to the log; does nothing unless this node is the leader. */
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

  /** Appends entries from the leader. */
  handleAppendRequest(from: string, request: AppendRequest): void {
    const {state} = this;
    if (request.term < state.term) {
      this.sendAppendResponse(from, false, 0, request.round);
      return;
    }
    this.acceptLeader(from);
    const knownTerm = state.log.getTerm(request.previousIndex);
    const isBeforeSnapshot = request.previousIndex < state.log.snapshot.index;
    if (!isBeforeSnapshot && knownTerm !== request.previousTerm) {
      // Committed entries always match; after a conflict, no later entry is known to.
      const hint =
        knownTerm === undefined ? state.log.lastIndex : state.commitIndex;
      this.sendAppendResponse(from, false, hint, request.round);
      return;
    }
    this.appendMissingEntries(request.entries);
    const matchIndex = request.previousIndex + request.entries.length;
    state.advanceCommitIndex(Math.min(request.commitIndex, matchIndex));
    this.sendAppendResponse(from, true, matchIndex, request.round);
  }

  /** Accepts a snapshot, which the leader sends when its log lacks the entries that are needed. */
  handleSnapshotRequest(from: string, request: SnapshotRequest): void {
    const {state} = this;
    if (request.term < state.term) {
      this.sendAppendResponse(from, false, 0, request.round);
      return;
    }
    this.acceptLeader(from);
    if (request.lastIndex > state.commitIndex) {
      const {
        lastIndex: index,
        lastTerm: term,
        voters,
        state: snapshot,
      } = request;
      state.effects.snapshotToInstall = {index, term, voters, state: snapshot};
    }
    this.sendAppendResponse(
      from,
      true,
      Math.max(request.lastIndex, state.commitIndex),
      request.round,
    );
  }

  /** Updates the progress of a follower. */
  handleAppendResponse(from: string, response: AppendResponse): void {
    const {state} = this;
    if (state.role !== 'leader' || response.term !== state.term) {
      return;
    }
    state.lastContacts.set(from, state.now);
    const progress = state.getProgress(from);
    progress.recordAnsweredRound(response.round);
    if (!response.isMatch) {
      const hintedIndex = Math.min(
        progress.nextIndex - 1,
        response.matchIndex + 1,
      );
      progress.nextIndex = Math.max(1, progress.matchIndex + 1, hintedIndex);
      return;
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    this.updateCommitIndex();
    if (progress.nextIndex <= state.log.lastIndex) {
      this.sendAppend(from);
    }
  }

  /** Records that entries are on this node's disk, which counts towards the commit index. */
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
      state.becomeFollower(state.term, from, `accepted ${from} as the leader`);
    }
    state.lastLeaderContactAt = state.now;
    state.lastContacts.set(from, state.now);
    state.electionDeadline = state.computeElectionDeadline();
  }

  /** Appends the entries that the log lacks, and removes conflicting ones before. */
  private appendMissingEntries(entries: readonly LogEntry[]): void {
    const {log} = this.state;
    const firstMissing = entries.findIndex(
      entry =>
        entry.index > log.snapshot.index &&
        log.getTerm(entry.index) !== entry.term,
    );
    if (firstMissing < 0) {
      return;
    }
    const added = entries.slice(firstMissing);
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

  /** Commits the newest entry of the current term that a quorum has on disk. */
  private updateCommitIndex(): void {
    const {state} = this;
    const candidates = [state.identity, ...state.peers].map(id =>
      this.getMatchIndex(id),
    );
    const committable = candidates
      .filter(
        index =>
          index > state.commitIndex && state.log.getTerm(index) === state.term,
      )
      .sort((left, right) => right - left)
      .find(index =>
        hasQuorum(state.voterSets, id => this.getMatchIndex(id) >= index),
      );
    if (committable === undefined) {
      return;
    }
    state.advanceCommitIndex(committable);
    this.proposeSettleVoters();
  }

  /** Proposes an entry by which disks record that earlier voter changes are committed. */
  private proposeSettleVoters(): void {
    const {log, commitIndex} = this.state;
    const unsettled = log.findUnsettledVoterChange();
    if (unsettled !== undefined && unsettled <= commitIndex) {
      this.propose([{type: 'settle-voters', time: 0}]);
    }
  }

  /** Returns the index of the last entry that a voter is known to have on disk. */
  getMatchIndex(identity: string): number {
    if (identity === this.state.identity) {
      return this.state.persistedIndex;
    }
    return this.state.progress.get(identity)?.matchIndex ?? 0;
  }
}

/** Returns the leading entries that fit into one message, but at least one. */
function selectFittingEntries(entries: readonly LogEntry[]): LogEntry[] {
  let bytes = 0;
  return entries.filter((entry, at) => {
    bytes += estimateEntryBytes(entry);
    return at === 0 || bytes <= MAX_BYTES_PER_MESSAGE;
  });
}
