/** One control process: forms or joins the quorum, decides, answers. */
import {randomBytes} from 'node:crypto';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {systemClock} from '../common/system_clock';
import {Message} from '../protocol/message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {splitIdentity} from '../protocol/split_identity';
import {RaftMessage} from '../protocol/raft_message';
import {ControlDataFolder} from '../state/control_data_folder';
import {FrameConnection} from '../transport/frame_connection';
import {FrameServer} from '../transport/frame_server';
import {createCallHandlers} from './call_handlers';
import {BackendRegistry} from './backend_registry';
import {ChangeSignal} from './change_signal';
import {ControlError} from './control_error';
import {ControlLinks} from './control_links';
import {ControlLog} from './control_log';
import {ControlSettings} from './control_settings';
import {createStatus} from './create_status';
import {Fleet} from './fleet';
import {EnginePlannerLoop} from './engine_planner_loop';
import {GatewayDesk} from './gateway_desk';
import {PlannerLoop} from './planner_loop';
import {QuorumMember} from './quorum_member';
import {RaftRuntime} from './raft_runtime';
import {SuspectDesk} from './suspect_desk';

type Handlers = ReturnType<typeof createCallHandlers>;
type Reply = (message: Message) => void;

/** A running control process. */
export class ControlServer {
  /** What happened here, newest in memory. */
  readonly events = EventRing.create();
  /** Settles when the process must stop because its disk failed. */
  readonly failed: Promise<Error>;
  private fail: (error: Error) => void = () => undefined;
  private readonly log: ControlLog;
  private readonly fleet = Fleet.create();
  private readonly signal = ChangeSignal.create();
  private readonly incarnation = randomBytes(8).toString('hex');
  private server: FrameServer | undefined;
  private links: ControlLinks | undefined;
  private member: QuorumMember | undefined;
  private enginePlanner: EnginePlannerLoop | undefined;
  private readonly registry: BackendRegistry;
  private planner: PlannerLoop | undefined;
  private handlers: Handlers | undefined;

  private constructor(
    private readonly settings: ControlSettings,
    private readonly disk: ControlDataFolder,
  ) {
    this.failed = new Promise(resolve => (this.fail = resolve));
    this.log = ControlLog.create(disk.identity, this.events, systemClock);
    this.registry = BackendRegistry.create(
      settings.pools?.heartbeatMs,
      ({registration: {incarnation, address, sequence}, holder}) =>
        this.events.record({
          type: 'backend-passed-over',
          subject: 'host',
          id: incarnation,
          reason: `${holder} holds its address: it may have ended`,
          details: {address, sequence},
        }),
    );
  }

  /**
   * Opens the data folder, listens, and joins the quorum as soon as it can.
   *
   * @throws StateError when the data folder is in use or damaged
   * @throws TransportError when the address cannot be taken
   * @example
   * const control = await ControlServer.create(settings);
   */
  static async create(settings: ControlSettings): Promise<ControlServer> {
    const refusals: string[] = [];
    const {name, dataFolder, locksFolder} = settings;
    const disk = await ControlDataFolder.create(dataFolder, name, {
      locksFolder,
      onDiskFull: error => refusals.push(error.message),
    });
    const control = new ControlServer(settings, disk);
    refusals.forEach(reason => control.record('disk-full', reason));
    await control.start().catch(async error => {
      await disk.close();
      throw error;
    });
    return control;
  }

  /** The port that is listened on. */
  get port(): number {
    return this.server?.port ?? 0;
  }

  /** Addresses at which the leader may be found, the likeliest first. */
  listControlAddresses(): string[] {
    const leader = this.runtime?.raft.leader;
    const voters = Object.keys(this.member?.keeper.listVoters() ?? {});
    const seeds = this.settings.seeded?.seeds ?? [];
    const known = leader ? [splitIdentity(leader).name] : [];
    return [...new Set([...known, ...voters, ...seeds])];
  }

  /** Takes other places to find control processes at, as the settings changed. */
  addSeeds(seeds: readonly string[]): void {
    this.member?.keeper.addSeeds(seeds);
  }

  /** True while this process may answer for the whole system. */
  get isLeading(): boolean {
    return this.runtime?.canAnswer() ?? false;
  }

  /** Stops without waiting for anything but the disk. */
  async close(): Promise<void> {
    this.planner?.close();
    this.enginePlanner?.close();
    this.links?.close();
    await this.server?.close();
    await this.member?.close();
    await this.disk.close();
  }

  private async start(): Promise<void> {
    const {settings, disk} = this;
    this.log.recordRecovered(disk);
    const cut = disk.log.recovered.cutBytes;
    if (cut > 0) {
      this.record(
        'log-tail-cut',
        `${cut} bytes of an unfinished last write were cut off`,
      );
    }
    this.server = await FrameServer.create({
      host: settings.host,
      port: settings.port,
      security: settings.security,
      onConnection: connection =>
        void this.acceptPeer(connection).catch(() => undefined),
    });
    this.links = ControlLinks.create({
      identity: this.identity,
      addresses: settings.seeded
        ? new Map(listOtherSeeds(settings).map(seed => [seed, seed]))
        : settings.peers,
      clock: systemClock,
      security: settings.security,
      onMessage: (from, message, reply) => this.receive(from, message, reply),
      onFailure: (from, error) => this.log.recordFailure(from, error),
    });
    this.member = QuorumMember.create({
      settings,
      disk,
      links: this.links,
      clock: systemClock,
      leaseClock: LeaseClock.create({
        monotonic: systemClock,
        wall: () => Date.now(),
        onPause: pause =>
          recordPause(this.events, 'control', disk.identity, pause),
      }),
      random: Math.random,
      send: (to, message) => this.sendRaft(to, message),
      onQuorum: ({type, reason}) => this.record(type, reason),
      onRuntime: runtime => this.startLeading(runtime),
      onFailure: error => this.fail(error),
      onChange: () => this.signal.announce(),
      onDiskFull: error => this.record('disk-full', error.message),
    });
    this.member.start();
  }

  private get runtime(): RaftRuntime | undefined {
    return this.member?.runtime;
  }

  private get identity() {
    return {
      program: 'control' as const,
      id: this.disk.identity,
      incarnation: this.incarnation,
    };
  }

  private async acceptPeer(connection: FrameConnection): Promise<void> {
    const peer = await Peer.create(connection, this.identity);
    const reply = (message: Message) => peer.send(message);
    void peer.messages
      .observe(message => this.receive(peer.remote.id, message, reply))
      .catch((error: Error) => {
        this.log.recordFailure(peer.remote.id, error);
        peer.close();
      });
  }

  private receive(from: string, message: Message, reply: Reply): void {
    if ('call' in message) {
      void this.answer(message as MessageOf<Message, keyof Handlers>, reply);
      return;
    }
    if ('term' in message) {
      this.log.recordRefusedVote(from, message as RaftMessage);
    }
    this.member?.receive(from, message, reply);
  }

  private async answer(
    ask: MessageOf<Message, keyof Handlers>,
    reply: Reply,
  ): Promise<void> {
    const {runtime, handlers} = this;
    const control = this.settings.seeded
      ? this.listControlAddresses()
      : undefined;
    const refuse = () => reply({type: 'not-leader', call: ask.call, control});
    if (!runtime?.canAnswer() || !handlers?.[ask.type]) {
      if (runtime?.raft.role === 'leader') {
        this.recordRefusal(
          ask.type,
          'it leads, but no quorum confirmed that lately',
        );
      }
      refuse();
      return;
    }
    try {
      const answer = await handlers[ask.type](ask as never);
      // Between the question and the answer this process may have been frozen.
      if (runtime.canAnswer()) {
        reply(answer);
      } else {
        this.recordRefusal(
          ask.type,
          'the lead was lost before the answer left',
        );
        refuse();
      }
    } catch (error) {
      if (!(error instanceof ControlError)) {
        throw error;
      }
      this.recordRefusal(ask.type, error.message);
      refuse();
    }
  }

  private recordRefusal(ask: string, reason: string): void {
    const voters = Object.keys(this.member?.keeper.listVoters() ?? {});
    this.log.recordRefusal({ask, reason, voters, raft: this.runtime?.raft});
  }

  /** Sets up what the leader does, beside the agreement. */
  private startLeading(runtime: RaftRuntime): void {
    const {settings, disk, fleet} = this;
    void runtime.roleChanges.observe(({role, reason}) => {
      fleet.clear();
      this.registry.clear();
      this.record(`became-${role}`, reason);
    });
    const planner = PlannerLoop.create({runtime, fleet, clock: systemClock});
    this.planner = planner;
    const desk = GatewayDesk.create({
      settings,
      runtime,
      registry: this.registry,
      clock: systemClock,
      signal: this.signal,
      events: this.events,
      identity: disk.identity,
    });
    if (settings.pools) {
      this.enginePlanner = EnginePlannerLoop.create({
        duties: settings.pools,
        runtime,
        registry: this.registry,
        desk,
        clock: systemClock,
        events: this.events,
      });
    }
    this.handlers = createCallHandlers({
      desk,
      suspects: SuspectDesk.create({
        runtime,
        events: this.events,
        registry: this.registry,
        clock: systemClock,
      }),
      runtime,
      fleet,
      clock: systemClock,
      signal: this.signal,
      trustedKeys: settings.trustedKeys,
      leaseMs: settings.leaseMs,
      findStandby: hostId => planner.findStandby(hostId),
      createStatus: () =>
        createStatus({
          identity: disk.identity,
          runtime,
          fleet,
          reachable: this.links?.listIdentities() ?? [],
          now: systemClock.now(),
        }),
    });
  }

  /** What cannot be sent is as good as lost, which the agreement bears. */
  private sendRaft(to: string, message: RaftMessage): void {
    try {
      this.links?.send(to, message);
    } catch (error) {
      this.record('message-not-sent', (error as Error).message);
    }
  }

  private record(type: string, reason: string): void {
    this.log.record(type, reason);
  }
}

function listOtherSeeds({seeded, name}: ControlSettings): string[] {
  return (seeded?.seeds ?? []).filter(seed => seed !== name);
}
