/** A control process: forms or joins the quorum and, while it leads, plans and serves calls. */
import {randomBytes} from 'node:crypto';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {ServerAddress} from '../common/server_address';
import {systemClock} from '../common/system_clock';
import {systemTimers} from '../common/system_timers';
import {Message} from '../protocol/message';
import {MessageOf} from '../protocol/message_of';
import {parseAddresses} from '../protocol/parse_addresses';
import {Peer} from '../protocol/peer';
import {splitIdentity} from '../protocol/split_identity';
import {QuorumStatus} from '../protocol/quorum_status';
import {RaftMessage} from '../protocol/raft_message';
import {ControlDataFolder} from '../state/control_data_folder';
import {FrameConnection} from '../transport/frame_connection';
import {FrameServer} from '../transport/frame_server';
import {createCallHandlers} from './create_call_handlers';
import {BackendRegistry} from './backend_registry';
import {ChangeSignal} from './change_signal';
import {CallAnswerer} from './call_answerer';
import {ControlConnections} from './control_connections';
import {ControlEventLog} from './control_event_log';
import {ControlSettings} from './control_settings';
import {createFleetStatus} from './create_fleet_status';
import {createQuorumStatus} from './create_quorum_status';
import {Fleet} from './fleet';
import {EngineGroupPlannerLoop} from './engine_group_planner_loop';
import {GatewayService} from './gateway_service';
import {HostGroupPlannerLoop} from './host_group_planner_loop';
import {MissingLeaderLog} from './missing_leader_log';
import {QuorumMember} from './quorum_member';
import {RaftRuntime} from './raft_runtime';
import {SuspectService} from './suspect_service';

type Handlers = ReturnType<typeof createCallHandlers>;
type Reply = (message: Message) => void;

/** A running control process. */
export class ControlServer {
  /** Recent events of this process. */
  readonly events = EventRing.create();
  /** Resolves with the error when the process must stop because its disk failed. */
  readonly failed: Promise<Error>;
  private fail: (error: Error) => void = () => undefined;
  private readonly log: ControlEventLog;
  private readonly calls: CallAnswerer;
  private readonly fleet = Fleet.create();
  private readonly signal = ChangeSignal.create();
  private readonly incarnation = randomBytes(8).toString('hex');
  private server: FrameServer | undefined;
  private connections: ControlConnections | undefined;
  private member: QuorumMember | undefined;
  private enginePlanner: EngineGroupPlannerLoop | undefined;
  private readonly registry: BackendRegistry;
  private planner: HostGroupPlannerLoop | undefined;
  private handlers: Handlers | undefined;
  private missingLeaderLog: MissingLeaderLog | undefined;
  /** Seeds of later settings. */
  private readonly addedSeeds = new Set<string>();
  private readonly startedAt = systemClock.now();

  private constructor(
    private readonly settings: ControlSettings,
    private readonly disk: ControlDataFolder,
  ) {
    this.failed = new Promise(resolve => (this.fail = resolve));
    this.log = ControlEventLog.create(disk.identity, this.events, systemClock);
    this.calls = CallAnswerer.create({
      log: this.log,
      identity: disk.identity,
      findRuntime: () => this.runtime,
      findHandlers: () => this.handlers,
      listControlAddresses: () =>
        settings.seeded ? this.listControlAddresses().map(String) : undefined,
      listVoters: () => Object.keys(this.member?.manager.listVoters() ?? {}),
    });
    this.registry = BackendRegistry.create(
      settings.pools?.heartbeatMs,
      ({registration: {incarnation, address, sequence}, holder}) =>
        this.events.record({
          type: 'backend-passed-over',
          subject: 'host',
          id: incarnation,
          reason: `the registration was ignored: ${holder} has the same address or name, so the sender may have ended`,
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
    const diskFullReasons: string[] = [];
    const {name, dataFolder, locksFolder} = settings;
    const disk = await ControlDataFolder.create(dataFolder, name, {
      locksFolder,
      onDiskFull: error => diskFullReasons.push(error.message),
    });
    const control = new ControlServer(settings, disk);
    diskFullReasons.forEach(reason => control.record('disk-full', reason));
    await control.start().catch(async error => {
      await disk.close();
      throw error;
    });
    return control;
  }

  /** The listening port; 0 before the server listens. */
  get port(): number {
    return this.server?.port ?? 0;
  }

  /** Addresses of control processes to try, the known leader first, then voters and seeds. */
  listControlAddresses(): readonly ServerAddress[] {
    const leader = this.runtime?.raft.leader;
    const voters = Object.keys(this.member?.manager.listVoters() ?? {});
    const seeds = this.settings.seeded?.seeds ?? [];
    const known = leader ? [splitIdentity(leader).name] : [];
    const names = new Set([...known, ...voters, ...seeds, ...this.addedSeeds]);
    return parseAddresses([...names], error =>
      this.log.recordMalformedAddress(error),
    );
  }

  /** Adds addresses for the discovery of control processes, after a change of the settings. */
  addSeeds(seeds: readonly string[]): void {
    seeds.forEach(seed => this.addedSeeds.add(seed));
    this.member?.manager.addSeeds(seeds);
  }

  /** True while this process is the leader and its lease is valid. */
  get isLeading(): boolean {
    return this.runtime?.canServe() ?? false;
  }

  /** Describes the quorum as this process sees it, whether there is a leader or not. */
  describeQuorum(): QuorumStatus {
    return createQuorumStatus({
      identity: this.disk.identity,
      runtime: this.runtime,
      connections: this.connections ?? {
        listNames: () => [],
        findConnection: () => undefined,
      },
      startedAt: this.startedAt,
      now: systemClock.now(),
    });
  }

  /** Closes connections, timers and the disk without waiting for pending calls. */
  async close(): Promise<void> {
    this.missingLeaderLog?.close();
    this.planner?.close();
    this.enginePlanner?.close();
    this.connections?.close();
    await this.server?.close();
    await this.member?.close();
    await this.disk.close();
  }

  private async start(): Promise<void> {
    const {settings, disk} = this;
    this.log.recordRecoveredState(disk);
    const truncatedBytes = disk.log.recovered.cutBytes;
    if (truncatedBytes > 0) {
      this.record(
        'log-tail-cut',
        `${truncatedBytes} bytes of an incomplete last write were truncated`,
      );
    }
    this.server = await FrameServer.create({
      host: settings.host,
      port: settings.port,
      security: settings.security,
      onConnection: connection =>
        void this.acceptPeer(connection).catch(() => undefined),
    });
    this.connections = ControlConnections.create({
      identity: this.identity,
      zone: settings.zone,
      addresses: settings.peers,
      clock: systemClock,
      security: settings.security,
      onMessage: (from, message, reply) => this.receive(from, message, reply),
      onFailure: (from, error) => this.log.recordMessageFailure(from, error),
      onMalformedAddress: error => this.log.recordMalformedAddress(error),
    });
    for (const seed of listOtherSeeds(settings)) {
      this.connections.add(seed, seed);
    }
    this.member = QuorumMember.create({
      settings,
      disk,
      connections: this.connections,
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
      onRuntime: runtime => this.startLeaderServices(runtime),
      onFailure: error => this.fail(error),
      onChange: () => this.signal.notify(),
      onDiskFull: error => this.record('disk-full', error.message),
    });
    this.member.start();
    this.missingLeaderLog = MissingLeaderLog.create({
      events: this.events,
      timers: systemTimers,
      describeQuorum: () => this.describeQuorum(),
    });
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
    if (peer.remote.program === 'control') {
      this.connections?.connectBack(peer.remote);
    }
    const reply = (message: Message) => peer.send(message);
    void peer.messages
      .observe(message => this.receive(peer.remote.id, message, reply))
      .catch((error: Error) => {
        this.log.recordMessageFailure(peer.remote.id, error);
        peer.close();
      });
  }

  private receive(from: string, message: Message, reply: Reply): void {
    if (message.type === 'quorum-ask') {
      const status = this.describeQuorum();
      reply({type: 'quorum-answer', call: message.call, status});
      return;
    }
    if (message.type === 'invalid-call') {
      this.calls.reject(from, message, reply);
      return;
    }
    if ('call' in message) {
      const call = message as MessageOf<Message, keyof Handlers>;
      this.calls
        .answer(call, reply)
        .catch((error: Error) => this.log.recordMessageFailure(from, error));
      return;
    }
    if ('term' in message) {
      this.log.recordRefusedVote(from, message as RaftMessage);
    }
    this.member?.receive(from, message, reply);
  }

  /** Starts what the leader does besides consensus; it is idle while another process leads. */
  private startLeaderServices(runtime: RaftRuntime): void {
    const {settings, disk, fleet} = this;
    void runtime.roleChanges.observe(({role, reason}) => {
      fleet.clear();
      this.registry.clear();
      this.record(`became-${role}`, reason);
    });
    const planner = HostGroupPlannerLoop.create({
      runtime,
      fleet,
      clock: systemClock,
    });
    this.planner = planner;
    const gateways = GatewayService.create({
      settings,
      runtime,
      registry: this.registry,
      clock: systemClock,
      signal: this.signal,
      events: this.events,
      identity: disk.identity,
    });
    if (settings.pools) {
      this.enginePlanner = EngineGroupPlannerLoop.create({
        poolSettings: settings.pools,
        runtime,
        registry: this.registry,
        gateways,
        clock: systemClock,
        events: this.events,
      });
    }
    this.handlers = createCallHandlers({
      gateways,
      suspects: SuspectService.create({
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
      createFleetStatus: () =>
        createFleetStatus({
          identity: disk.identity,
          runtime,
          fleet,
          reachable: this.connections?.listIdentities() ?? [],
          now: systemClock.now(),
        }),
    });
  }

  /** A message that can't be sent counts as lost, which the consensus protocol tolerates. */
  private sendRaft(to: string, message: RaftMessage): void {
    try {
      this.connections?.send(to, message);
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
