/** One process's part in the quorum: it forms or joins it, keeps its voters, and runs the agreement. */
import {Clock} from '../common/clock';
import {Timers} from '../common/timers';
import {defaultRaftTiming} from '../coordination/agreement/default_raft_timing';
import {Message} from '../protocol/message';
import {RaftMessage} from '../protocol/raft_message';
import {ControlDataFolder} from '../state/control_data_folder';
import {ControlLinks} from './control_links';
import {ControlSettings} from './control_settings';
import {QuorumKeeper} from './quorum_keeper';
import {RaftRuntime} from './raft_runtime';

type RaftRuntimeOptions = Parameters<typeof RaftRuntime.create>[0];

/** What a member works with. */
interface QuorumMemberOptions extends Pick<
  RaftRuntimeOptions,
  'send' | 'onFailure' | 'onDiskFull' | 'onChange' | 'leaseClock'
> {
  readonly settings: ControlSettings;
  readonly disk: ControlDataFolder;
  readonly links: Pick<
    ControlLinks,
    'add' | 'send' | 'listIdentities' | 'findHeardAt'
  >;
  readonly clock: Clock;
  readonly timers?: Timers;
  readonly random: () => number;
  /** Told when the data folder knows the quorum, with what came of it. */
  readonly onQuorum: (reason: {type: string; reason: string}) => void;
  /** Told once, before the agreement takes its first step. */
  readonly onRuntime: (runtime: RaftRuntime) => void;
}

/** A running member. */
export class QuorumMember {
  readonly keeper: QuorumKeeper;
  private raftRuntime: RaftRuntime | undefined;

  private constructor(private readonly options: QuorumMemberOptions) {
    const {settings, disk, links, clock, timers} = options;
    this.keeper = QuorumKeeper.create({
      settings,
      disk,
      links,
      clock,
      timers,
      findRuntime: () => this.raftRuntime,
      onDiskFull: options.onDiskFull,
      onQuorum: reason => {
        options.onQuorum(reason);
        this.startRaft();
      },
    });
  }

  /**
   * Creates a member that does nothing yet.
   *
   * @example
   * const member = QuorumMember.create(options);
   * member.start();
   */
  static create(options: QuorumMemberOptions): QuorumMember {
    return new QuorumMember(options);
  }

  /** The agreement; undefined until the data folder knows the quorum. */
  get runtime(): RaftRuntime | undefined {
    return this.raftRuntime;
  }

  /** Takes its place again if the data folder knows one, and looks for one otherwise. */
  start(): void {
    const {disk, onFailure} = this.options;
    if (disk.snapshots.current) {
      this.startRaft();
    } else {
      void this.keeper.runFormation().catch(onFailure);
    }
  }

  /** Takes a message of another member; false for one that is none. */
  receive(
    from: string,
    message: Message,
    reply: (message: Message) => void,
  ): boolean {
    if (message.type === 'formation-ask') {
      reply(this.keeper.handleAsk(message));
    } else if (message.type === 'formation-answer') {
      this.keeper.handleAnswer(from, message);
    } else if ('term' in message && !('call' in message)) {
      this.raftRuntime?.receive(from, message as RaftMessage);
    } else {
      return false;
    }
    return true;
  }

  /** Stops; resolves when the disk is idle. */
  async close(): Promise<void> {
    this.keeper.close();
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
    this.keeper.connectVoters();
    onRuntime(this.raftRuntime);
  }
}
