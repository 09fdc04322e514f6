/** Drives the agreement: feeds it events and performs its effects on disk and network. */
import {Clock} from '../common/clock';
import {LeaseClock} from '../common/lease_clock';
import {PushSource} from '../common/push_source';
import {systemTimers} from '../common/system_timers';
import {Cancel} from '../common/cancel';
import {Timers} from '../common/timers';
import {waitFor} from '../common/wait_for';
import {RaftEffects} from '../coordination/agreement/raft_effects';
import {RaftEvent} from '../coordination/agreement/raft_event';
import {RaftLog} from '../coordination/agreement/raft_log';
import {RaftNode} from '../coordination/agreement/raft_node';
import {RaftTiming} from '../coordination/agreement/raft_timing';
import {ControlCommand} from '../protocol/control_command';
import {RaftMessage} from '../protocol/raft_message';
import {ClusterState} from '../state/cluster_state';
import {CommandResult} from '../state/command_result';
import {ControlDataFolder} from '../state/control_data_folder';
import {LogRecord} from '../state/log_record';
import {ControlError} from './control_error';
import {createLogRecords} from './create_log_records';
import {PendingProposals} from './pending_proposals';

const TICK_MS = 20;
/** Between two tries on a disk that has no room. */
const DISK_RETRY_MS = 200;
/** Entries behind the snapshot after which a new one is taken. */
const DEFAULT_SNAPSHOT_EVERY = 4_096;

type Outgoing = RaftEffects['messages'];

/** One piece of work for the disk, done in order. */
interface DiskJob {
  readonly persist?: RaftEffects['persist'];
  /** Known to be committed when the job was made. */
  readonly commitIndex: number;
  readonly install?: RaftEffects['install'];
  readonly messages: Outgoing;
}

/** What the runtime is made of. */
interface RaftRuntimeOptions {
  readonly disk: ControlDataFolder;
  readonly clock: Clock;
  /** Tells of suspensions, which `clock` does not count. */
  readonly leaseClock?: Pick<LeaseClock, 'pausedAt'>;
  readonly timers?: Timers;
  readonly timing: RaftTiming;
  readonly random: () => number;
  /** When this process began, on its clock. */
  readonly startedAt?: number;
  readonly send: (to: string, message: RaftMessage) => void;
  /** The disk failed: the process must stop, what it acknowledged stands. */
  readonly onFailure: (error: Error) => void;
  /** The disk has no room; the write is tried again until it has. */
  readonly onDiskFull?: (error: Error) => void;
  readonly snapshotEvery?: number;
  /** Called when bundles or groups may have changed, or the role did. */
  readonly onChange: () => void;
}

/** Runs one node of the agreement and the tables that follow from its log. */
export class RaftRuntime {
  private readonly changes = PushSource.create<{
    role: string;
    reason: string;
  }>();
  /** Changes of role, as they happen. */
  readonly roleChanges = this.changes.stream;
  private readonly node: RaftNode;
  private tables: ClusterState;
  private readonly diskJobs: DiskJob[] = [];
  private readonly snapshotJobs: Array<
    NonNullable<ControlDataFolder['snapshots']['current']>
  > = [];
  /** Index of the newest snapshot that is taken or on its way to disk. */
  private snapshotPlanned = 0;
  private isDiskBusy = false;
  private isInstalling = false;
  private postponed: RaftEvent[] = [];
  private readonly pending = PendingProposals.create();
  private appliedTerm = 0;
  private ledSince = 0;
  private readonly timers: Timers;
  private readonly stopTicking: Cancel;
  private isClosed = false;

  private constructor(private readonly options: RaftRuntimeOptions) {
    const {disk, clock, timing, random} = options;
    const snapshot = disk.snapshots.current;
    if (!snapshot) {
      throw new ControlError('the data folder knows no quorum yet');
    }
    this.tables = ClusterState.create(snapshot.state);
    const {term, votedFor, entries, commitIndex} = disk.log.recovered;
    const start = createLogStart(snapshot);
    const kept = entries.filter(entry => entry.index > snapshot.index);
    this.node = RaftNode.create({
      identity: disk.identity,
      log: RaftLog.create(start, kept),
      term,
      votedFor,
      commitIndex: snapshot.index,
      knownCommitted: commitIndex,
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
   * Starts a node from its data folder, which must know the quorum.
   *
   * @throws ControlError when no quorum was ever formed there
   * @example
   * const runtime = RaftRuntime.create({disk, clock, timing, random, send, onFailure});
   */
  static create(options: RaftRuntimeOptions): RaftRuntime {
    return new RaftRuntime(options);
  }

  /** The tables as of the newest applied entry. */
  get state(): ClusterState {
    return this.tables;
  }

  /** The agreement itself, for reading only. */
  get raft(): Pick<
    RaftNode,
    | 'role'
    | 'term'
    | 'leader'
    | 'others'
    | 'commitIndex'
    | 'findVoter'
    | 'listVotersAt'
    | 'listKnownVoters'
    | 'isCaughtUp'
    | 'isChangingVoters'
  > {
    return this.node;
  }

  /**
   * True while this process leads, has applied everything committed before its
   * term, and a quorum confirmed it so lately that no other can lead. Ask right
   * before an answer leaves.
   */
  canAnswer(): boolean {
    const {clock, leaseClock} = this.options;
    // A leader that was suspended would hold a lease by a round from before.
    const trustedSince = leaseClock?.pausedAt;
    return (
      this.appliedTerm === this.node.term &&
      this.node.hasLease(clock.now(), trustedSince)
    );
  }

  /** When this process last took the lead, on its monotonic clock. */
  get leadingSince(): number {
    return this.ledSince;
  }

  /** Hands over a message from another node. */
  receive(from: string, message: RaftMessage): void {
    this.step({type: 'message', from, message});
  }

  /**
   * Proposes a command and waits until it is committed and applied. Commands of
   * one turn of the loop share one write and one round.
   *
   * @throws ControlError when this process does not lead or loses the lead
   */
  propose(command: ControlCommand): Promise<CommandResult> {
    const settled = this.pending.add(command);
    if (this.pending.queuedCount === 1) {
      this.timers.defer(() => this.flushProposals());
    }
    return settled;
  }

  /** Stops; resolves when the disk is idle. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.stopTicking();
    this.pending.reject('control is stopping');
    while (this.isDiskBusy) {
      await waitFor(this.timers, 1);
    }
  }

  private flushProposals(): void {
    if (this.pending.queuedCount === 0) {
      return;
    }
    if (this.node.role !== 'leader' || this.isClosed) {
      this.pending.reject('this control process does not lead');
      return;
    }
    const {lastIndex, term} = this.node;
    const commands = this.pending.take(lastIndex + 1, term);
    this.step({type: 'propose', commands});
  }

  private step(event: RaftEvent): void {
    if (this.isClosed) {
      return;
    }
    if (this.isInstalling) {
      this.postponed.push(event);
      return;
    }
    this.perform(this.node.step(event, this.options.clock.now()));
  }

  private perform(effects: RaftEffects): void {
    this.sendAll(effects.messages);
    const {persist, install, messagesAfterPersist} = effects;
    if (persist || install || messagesAfterPersist.length > 0) {
      this.isInstalling ||= install !== undefined;
      this.diskJobs.push({
        persist,
        commitIndex: this.node.commitIndex,
        install,
        messages: messagesAfterPersist,
      });
      void this.drainDisk();
    }
    effects.committed.forEach(entry => this.apply(entry));
    if (effects.change) {
      this.handleChange(effects.change);
    }
  }

  private apply(entry: RaftEffects['committed'][number]): void {
    const before = this.tables.changeCount;
    const result = this.tables.apply(entry);
    if (this.tables.changeCount !== before) {
      this.options.onChange();
    }
    if (entry.command.type === 'start-term') {
      this.appliedTerm = entry.term;
    }
    this.pending.settle(entry.index, entry.term, result);
    const every = this.options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY;
    const snapshotIndex = this.options.disk.snapshots.current?.index ?? 0;
    if (entry.index - Math.max(snapshotIndex, this.snapshotPlanned) >= every) {
      this.planSnapshot(entry.index, entry.term);
    }
  }

  private planSnapshot(index: number, term: number): void {
    this.snapshotPlanned = index;
    const state = this.tables.save();
    const voters = Object.fromEntries(this.node.listVotersAt(index));
    this.snapshotJobs.push({index, term, voters, state});
    void this.drainDisk();
  }

  private handleChange(change: {role: string; reason: string}): void {
    if (change.role === 'leader') {
      this.ledSince = this.options.clock.now();
    } else {
      this.pending.reject('this control process lost the lead');
    }
    this.changes.push(change);
    this.options.onChange();
  }

  private async drainDisk(): Promise<void> {
    if (this.isDiskBusy) {
      return;
    }
    this.isDiskBusy = true;
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

  /** Writes all jobs that piled up with one sync. */
  private async runDiskJobs(jobs: readonly DiskJob[]): Promise<void> {
    const records = jobs.flatMap(createLogRecords);
    if (records.length > 0) {
      await this.retryWhileFull(() => this.options.disk.log.append(records));
    }
    const last = jobs.flatMap(job => job.persist?.entries ?? []).at(-1);
    for (const job of jobs) {
      if (job.install) {
        await this.install(job.install);
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

  /** A full disk holds up this node and nothing else: a quorum does without it. */
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

  private async install(
    snapshot: NonNullable<RaftEffects['install']>,
  ): Promise<void> {
    const {disk} = this.options;
    const {index, term, voters, state} = snapshot;
    await this.retryWhileFull(() =>
      disk.snapshots.save({index, term, voters, state}),
    );
    this.node.finishInstall(createLogStart({index, term, voters}));
    this.tables = ClusterState.create(state);
    await this.retryWhileFull(() => disk.log.replaceAll(this.listRecords()));
    this.isInstalling = false;
    const postponed = this.postponed;
    this.postponed = [];
    postponed.forEach(event => this.step(event));
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

  private sendAll(messages: Outgoing): void {
    messages.forEach(({to, message}) => this.options.send(to, message));
  }
}

function createLogStart(snapshot: {
  index: number;
  term: number;
  voters: Record<string, string>;
}) {
  const {index, term, voters} = snapshot;
  return {index, term, voters: new Map(Object.entries(voters))};
}
