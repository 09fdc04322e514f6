/** Participation of one process in the quorum: forms or joins it, changes its voters and runs Raft. */
import {Clock} from '../common/clock';
import {Timers} from '../common/timers';
import {defaultRaftTiming} from '../coordination/agreement/default_raft_timing';
import {Message} from '../protocol/message';
import {RaftMessage} from '../protocol/raft_message';
import {ControlDataFolder} from '../state/control_data_folder';
import {ControlConnections} from './control_connections';
import {ControlSettings} from './control_settings';
import {QuorumManager} from './quorum_manager';
import {RaftRuntime} from './raft_runtime';
import {RaftRuntimeOptions} from './raft_runtime_options';

/** Dependencies and callbacks of a quorum member. */
interface QuorumMemberOptions extends Pick<
  RaftRuntimeOptions,
  'send' | 'onFailure' | 'onDiskFull' | 'onChange' | 'leaseClock'
> {
  readonly settings: ControlSettings;
  readonly disk: ControlDataFolder;
  readonly connections: Pick<
    ControlConnections,
    'add' | 'send' | 'listIdentities' | 'findLastActivityAt'
  >;
  readonly clock: Clock;
  readonly timers?: Timers;
  readonly random: () => number;
  /** Called with what failed in a round of work; the next round follows. */
  readonly onFault?: (work: string, error: Error) => void;
  /** Called when the data folder contains the voters of a quorum, with the event to record. */
  readonly onQuorum: (reason: {type: string; reason: string}) => void;
  /** Called once, before Raft handles its first event. */
  readonly onRuntime: (runtime: RaftRuntime) => void;
}

/** A member of the control quorum. */
export class QuorumMember {
  readonly manager: QuorumManager;
  private raftRuntime: RaftRuntime | undefined;

  private constructor(private readonly options: QuorumMemberOptions) {
    const {settings, disk, connections, clock, timers} = options;
    this.manager = QuorumManager.create({
      settings,
      disk,
      connections,
      clock,
      timers,
      findRuntime: () => this.raftRuntime,
      onDiskFull: options.onDiskFull,
      onFault: options.onFault,
      onQuorum: reason => {
        options.onQuorum(reason);
        this.startRaft();
      },
    });
  }

  /**
   * Creates a member that is not started yet.
   *
   * @example
   * const member = QuorumMember.create(options);
   * member.start();
   */
  static create(options: QuorumMemberOptions): QuorumMember {
    return new QuorumMember(options);
  }

  /** The Raft runtime; undefined until the data folder contains the voters of a quorum. */
  get runtime(): RaftRuntime | undefined {
    return this.raftRuntime;
  }

  /** Resumes with the voters in the data folder, or forms or joins a quorum if there are none. */
  start(): void {
    const {disk, onFailure} = this.options;
    if (disk.snapshots.current) {
      this.startRaft();
    } else {
      void this.manager.runFormation().catch(onFailure);
    }
  }

  /** Handles a message between members; returns false for any other message. */
  receive(
    from: string,
    message: Message,
    reply: (message: Message) => void,
  ): boolean {
    if (message.type === 'formation-ask') {
      reply(this.manager.handleFormationRequest(message));
    } else if (message.type === 'formation-answer') {
      this.manager.handleFormationResponse(from, message);
    } else if ('term' in message && !('call' in message)) {
      this.raftRuntime?.receive(from, message as RaftMessage);
    } else {
      return false;
    }
    return true;
  }

  /** Stops the member; resolves when no disk write is in progress. */
  async close(): Promise<void> {
    this.manager.close();
    await this.raftRuntime?.close();
  }

  private startRaft(): void {
    const {settings, disk, clock, timers, random, send} = this.options;
    const {onFailure, onDiskFull, onChange, onRuntime} = this.options;
    const {leaseClock} = this.options;
    this.raftRuntime = RaftRuntime.create({
      disk,
      clock,
      leaseClock,
      timers,
      timing: defaultRaftTiming,
      random,
      startedAt: settings.startedAt,
      send,
      onFailure,
      snapshotEvery: settings.snapshotEvery,
      onChange,
      onDiskFull,
    });
    this.manager.connectVoters();
    onRuntime(this.raftRuntime);
  }
}
