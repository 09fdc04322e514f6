/** Runs a Raft node: passes events to it and performs its effects on disk and network. */
import {PushSource} from '../common/push_source';
import {systemTimers} from '../common/system_timers';
import {Cancel} from '../common/cancel';
import {Timers} from '../common/timers';
import {waitFor} from '../common/wait_for';
import {RaftEffects} from '../coordination/agreement/raft_effects';
import {RaftEvent} from '../coordination/agreement/raft_event';
import {RaftLog} from '../coordination/agreement/raft_log';
import {RaftNode} from '../coordination/agreement/raft_node';
import {ControlCommand} from '../protocol/control_command';
import {RaftMessage} from '../protocol/raft_message';
import {ClusterState} from '../state/cluster_state';
import {CommandResult} from '../state/command_result';
import {ControlDataFolder} from '../state/control_data_folder';
import {LogRecord} from '../state/log_record';
import {ControlError} from './control_error';
import {createLogRecords} from './create_log_records';
import {PendingProposals} from './pending_proposals';
import {RaftRuntimeOptions} from './raft_runtime_options';

const TICK_MS = 20;
/** Interval between write attempts on a full disk. */
const DISK_RETRY_MS = 200;
/** Number of entries after the last snapshot at which a new one is taken. */
const DEFAULT_SNAPSHOT_EVERY = 4_096;

type OutgoingMessages = RaftEffects['messages'];

/** Disk writes of one step and what follows them; jobs run in order. */
interface DiskJob {
  readonly persist?: RaftEffects['persist'];
  /** Commit index when the job was created. */
  readonly commitIndex: number;
  readonly snapshotToInstall?: RaftEffects['snapshotToInstall'];
  /** Messages to send when the writes are complete. */
  readonly messages: OutgoingMessages;
}

/** Runs one Raft node and applies its committed entries to the cluster state. */
export class RaftRuntime {
  private readonly changes = PushSource.create<{
    role: string;
    reason: string;
  }>();
  /** Stream of role changes. */
  readonly roleChanges = this.changes.stream;
  private readonly node: RaftNode;
  private clusterState: ClusterState;
  private readonly diskJobs: DiskJob[] = [];
  private readonly snapshotJobs: Array<
    NonNullable<ControlDataFolder['snapshots']['current']>
  > = [];
  /** Index of the newest snapshot that was taken, whether it is on disk yet or not. */
  private plannedIndex = 0;
  private isDiskBusy = false;
  private diskBusySince = 0;
  private isInstalling = false;
  private deferredEvents: RaftEvent[] = [];
  private readonly pendingProposals = PendingProposals.create();
  private appliedTerm = 0;
  private leaderSince = 0;
  private readonly timers: Timers;
  private readonly stopTicking: Cancel;
  private isClosed = false;

  private constructor(private readonly options: RaftRuntimeOptions) {
    const {disk, clock, timing, random} = options;
    const snapshot = disk.snapshots.current;
    if (!snapshot) {
      throw new ControlError(
        'the data folder does not contain the voters of a quorum',
      );
    }
    this.clusterState = ClusterState.create(snapshot.state);
    const {term, votedFor, entries, commitIndex} = disk.log.recovered;
    const start = createPosition(snapshot);
    const kept = entries.filter(entry => entry.index > snapshot.index);
    this.node = RaftNode.create({
      identity: disk.identity,
      log: RaftLog.create(start, kept),
      term,
      votedFor,
      commitIndex: snapshot.index,
      knownCommitIndex: commitIndex,
      timing,
      random,
      readSnapshot: () => disk.snapshots.current?.state ?? new Uint8Array(),
      now: clock.now(),
      startedAt: options.startedAt,
    });
    this.timers = options.timers ?? systemTimers;
    this.stopTicking = this.timers.repeat(TICK_MS, () =>
      this.step({type: 'tick'}),
    );
  }

  /**
   * Starts a node from its data folder, which must contain the voters of a quorum.
   *
   * @throws ControlError if the data folder contains no quorum
   * @example
   * const runtime = RaftRuntime.create({disk, clock, timing, random, send, onFailure});
   */
  static create(options: RaftRuntimeOptions): RaftRuntime {
    return new RaftRuntime(options);
  }

  /** Cluster state as of the newest applied entry. */
  get state(): ClusterState {
    return this.clusterState;
  }

  /** Read-only view of the Raft node. */
  get raft(): Pick<
    RaftNode,
    | 'role'
    | 'term'
    | 'leader'
    | 'others'
    | 'commitIndex'
    | 'findVoter'
    | 'listVotersAt'
    | 'listCommittedVoters'
    | 'isCaughtUp'
    | 'isChangingVoters'
    | 'describeElection'
    | 'findLastContactAt'
  > {
    return this.node;
  }

  /**
   * True while this process is leader, has applied all entries committed before its
   * term, and holds the leader lease. Check it right before a response is sent.
   */
  canServe(): boolean {
    const {clock, leaseClock} = this.options;
    // Rounds sent before a suspension must not count towards the lease.
    const trustedSince = leaseClock?.pausedAt;
    return (
      this.appliedTerm === this.node.term &&
      this.node.hasLease(clock.now(), trustedSince)
    );
  }

  /** When this process last became leader, on its monotonic clock. */
  get leadingSince(): number {
    return this.leaderSince;
  }

  /**
   * Time for which disk writes have been in progress without a break, in milliseconds;
   * votes and requests for votes are not sent before the writes ahead of them are done.
   */
  get writePendingMs(): number {
    return this.isDiskBusy
      ? Math.max(0, this.options.clock.now() - this.diskBusySince)
      : 0;
  }

  /** Handles a message from another node. */
  receive(from: string, message: RaftMessage): void {
    this.step({type: 'message', from, message});
  }

  /**
   * Proposes a command and waits until it is committed and applied. Commands of the
   * same event loop turn are batched into one write and one round of messages.
   *
   * @throws ControlError if this process is not the leader or loses leadership
   */
  propose(command: ControlCommand): Promise<CommandResult> {
    const result = this.pendingProposals.add(command);
    if (this.pendingProposals.queuedCount === 1) {
      this.timers.defer(() => this.flushProposals());
    }
    return result;
  }

  /** Stops the node; resolves when no disk write is in progress. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.stopTicking();
    this.pendingProposals.rejectAll('the control process is stopping');
    while (this.isDiskBusy) {
      await waitFor(this.timers, 1);
    }
  }

  private flushProposals(): void {
    if (this.pendingProposals.queuedCount === 0) {
      return;
    }
    if (this.node.role !== 'leader' || this.isClosed) {
      this.pendingProposals.rejectAll('this control process is not the leader');
      return;
    }
    const {lastIndex, term} = this.node;
    const commands = this.pendingProposals.takeQueued(lastIndex + 1, term);
    this.step({type: 'propose', commands});
  }

  private step(event: RaftEvent): void {
    if (this.isClosed) {
      return;
    }
    if (this.isInstalling) {
      this.deferredEvents.push(event);
      return;
    }
    this.perform(this.node.step(event, this.options.clock.now()));
  }

  private perform(effects: RaftEffects): void {
    this.sendAll(effects.messages);
    const {persist, snapshotToInstall, messagesAfterPersist} = effects;
    if (persist || snapshotToInstall || messagesAfterPersist.length > 0) {
      this.isInstalling ||= snapshotToInstall !== undefined;
      this.diskJobs.push({
        persist,
        commitIndex: this.node.commitIndex,
        snapshotToInstall,
        messages: messagesAfterPersist,
      });
      void this.drainDisk();
    }
    effects.committedEntries.forEach(entry => this.apply(entry));
    if (effects.roleChange) {
      this.handleRoleChange(effects.roleChange);
    }
  }

  private apply(entry: RaftEffects['committedEntries'][number]): void {
    const before = this.clusterState.changeCount;
    const result = this.clusterState.apply(entry);
    if (this.clusterState.changeCount !== before) {
      this.options.onChange();
    }
    if (entry.command.type === 'start-term') {
      this.appliedTerm = entry.term;
    }
    this.pendingProposals.settle(entry.index, entry.term, result);
    const every = this.options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY;
    const snapshotIndex = this.options.disk.snapshots.current?.index ?? 0;
    if (entry.index - Math.max(snapshotIndex, this.plannedIndex) >= every) {
      this.planSnapshot(entry.index, entry.term);
    }
  }

  private planSnapshot(index: number, term: number): void {
    this.plannedIndex = index;
    const state = this.clusterState.save();
    const voters = Object.fromEntries(this.node.listVotersAt(index));
    this.snapshotJobs.push({index, term, voters, state});
    void this.drainDisk();
  }

  private handleRoleChange(change: {role: string; reason: string}): void {
    if (change.role === 'leader') {
      this.leaderSince = this.options.clock.now();
    } else {
      this.pendingProposals.rejectAll('this control process lost leadership');
    }
    this.changes.push(change);
    this.options.onChange();
  }

  private async drainDisk(): Promise<void> {
    if (this.isDiskBusy) {
      return;
    }
    this.isDiskBusy = true;
    this.diskBusySince = this.options.clock.now();
    try {
      while (
        !this.isClosed &&
        (this.diskJobs.length > 0 || this.snapshotJobs.length > 0)
      ) {
        await this.runDiskJobs(this.diskJobs.splice(0));
        await this.runSnapshotJob();
      }
    } catch (error) {
      this.isClosed = true;
      this.stopTicking();
      this.options.onFailure(error as Error);
    } finally {
      this.isDiskBusy = false;
    }
  }

  /** Writes all queued jobs with a single sync. */
  private async runDiskJobs(jobs: readonly DiskJob[]): Promise<void> {
    const records = jobs.flatMap(createLogRecords);
    if (records.length > 0) {
      await this.retryWhileFull(() => this.options.disk.log.append(records));
    }
    const last = jobs.flatMap(job => job.persist?.entries ?? []).at(-1);
    for (const job of jobs) {
      if (job.snapshotToInstall) {
        await this.installSnapshot(job.snapshotToInstall);
      }
      this.sendAll(job.messages);
    }
    if (last) {
      this.step({type: 'persisted', index: last.index, term: last.term});
    }
  }

  private async runSnapshotJob(): Promise<void> {
    const snapshot = this.snapshotJobs.shift();
    if (!snapshot) {
      return;
    }
    const {disk} = this.options;
    await this.retryWhileFull(() => disk.snapshots.save(snapshot));
    this.step({type: 'compact', index: snapshot.index});
    await this.retryWhileFull(() => disk.log.replaceAll(this.listRecords()));
  }

  /** Retries a write while the disk is full, which delays this node only: the quorum proceeds without it. */
  private async retryWhileFull(write: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        return await write();
      } catch (error) {
        if ((error as Error).name !== 'DiskFull' || this.isClosed) {
          throw error;
        }
        this.options.onDiskFull?.(error as Error);
        await waitFor(this.timers, DISK_RETRY_MS);
      }
    }
  }

  private async installSnapshot(
    snapshot: NonNullable<RaftEffects['snapshotToInstall']>,
  ): Promise<void> {
    const {disk} = this.options;
    const {index, term, voters, state} = snapshot;
    await this.retryWhileFull(() =>
      disk.snapshots.save({index, term, voters, state}),
    );
    this.node.finishSnapshotInstall(createPosition({index, term, voters}));
    this.clusterState = ClusterState.create(state);
    await this.retryWhileFull(() => disk.log.replaceAll(this.listRecords()));
    this.isInstalling = false;
    const events = this.deferredEvents;
    this.deferredEvents = [];
    events.forEach(event => this.step(event));
  }

  private listRecords(): LogRecord[] {
    const {term, votedFor} = this.node.hardState;
    const entries = this.node.listEntries();
    return [
      {type: 'hard-state', term, votedFor},
      {type: 'commit', index: this.node.commitIndex},
      ...entries.map(entry => ({type: 'entry' as const, entry})),
    ];
  }

  private sendAll(messages: OutgoingMessages): void {
    messages.forEach(({to, message}) => this.options.send(to, message));
  }
}

function createPosition(snapshot: {
  index: number;
  term: number;
  voters: Record<string, string>;
}) {
  const {index, term, voters} = snapshot;
  return {index, term, voters: new Map(Object.entries(voters))};
}
