/** One control process: forms or joins the quorum, decides, answers. */
import {randomBytes} from 'node:crypto';
import {EventRing} from '../common/event_ring';
import {systemClock} from '../common/system_clock';
import {defaultRaftTiming} from '../coordination/default_raft_timing';
import {FormationMessage} from '../protocol/formation_message';
import {Message} from '../protocol/message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {RaftMessage} from '../protocol/raft_message';
import {splitIdentity} from '../protocol/split_identity';
import {ControlDisk} from '../state/control_disk';
import {FrameConnection} from '../transport/frame_connection';
import {FrameServer} from '../transport/frame_server';
import {createCallHandlers} from './call_handlers';
import {ChangeSignal} from './change_signal';
import {ControlError} from './control_error';
import {ControlLinks} from './control_links';
import {ControlSettings} from './control_settings';
import {createStatus} from './create_status';
import {Fleet} from './fleet';
import {formQuorum} from './form_quorum';
import {PlannerLoop} from './planner_loop';
import {RaftRuntime} from './raft_runtime';

const FORMATION_EVERY_MS = 100;
const ADMIT_EVERY_MS = 250;

type Handlers = ReturnType<typeof createCallHandlers>;
type Reply = (message: Message) => void;

/** A running control process. */
export class ControlServer {
  /** What happened here, newest in memory. */
  readonly events = EventRing.create();
  /** Settles when the process must stop because its disk failed. */
  readonly failed: Promise<Error>;
  private fail: (error: Error) => void = () => undefined;
  private readonly fleet = Fleet.create();
  private readonly signal = ChangeSignal.create();
  private readonly incarnation = randomBytes(8).toString('hex');
  private readonly answers = new Map<
    string,
    MessageOf<FormationMessage, 'formation-answer'>
  >();
  private server: FrameServer | undefined;
  private links: ControlLinks | undefined;
  private runtime: RaftRuntime | undefined;
  private planner: PlannerLoop | undefined;
  private handlers: Handlers | undefined;
  private isClosed = false;
  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(
    private readonly settings: ControlSettings,
    private readonly disk: ControlDisk,
  ) {
    this.failed = new Promise(resolve => (this.fail = resolve));
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
    const disk = await ControlDisk.create(settings.dataFolder, settings.name);
    const control = new ControlServer(settings, disk);
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

  /** Stops without waiting for anything but the disk. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.timers.forEach(timer => clearInterval(timer));
    this.planner?.close();
    this.links?.close();
    await this.server?.close();
    await this.runtime?.close();
    await this.disk.close();
  }

  private async start(): Promise<void> {
    const {settings, disk} = this;
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
      addresses: settings.peers,
      security: settings.security,
      onMessage: (from, message, reply) => this.receive(from, message, reply),
    });
    if (disk.snapshots.current) {
      this.startRaft();
    } else {
      void this.runFormation().catch((error: Error) => this.fail(error));
    }
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
      .catch(() => peer.close());
  }

  private receive(from: string, message: Message, reply: Reply): void {
    if (message.type === 'formation-ask') {
      const voters = this.disk.snapshots.current ? this.listVoters() : null;
      reply({type: 'formation-answer', identity: this.disk.identity, voters});
    } else if (message.type === 'formation-answer') {
      this.answers.set(splitIdentity(from).name, message);
    } else if ('call' in message) {
      void this.answer(message as MessageOf<Message, keyof Handlers>, reply);
    } else if ('term' in message) {
      this.runtime?.receive(from, message as RaftMessage);
    }
  }

  private async answer(
    ask: MessageOf<Message, keyof Handlers>,
    reply: Reply,
  ): Promise<void> {
    const {runtime, handlers} = this;
    const refuse = () => reply({type: 'not-leader', call: ask.call});
    if (!runtime?.canAnswer() || !handlers?.[ask.type]) {
      refuse();
      return;
    }
    try {
      const answer = await handlers[ask.type](ask as never);
      // Between the question and the answer this process may have been frozen.
      if (runtime.canAnswer()) {
        reply(answer);
      } else {
        refuse();
      }
    } catch (error) {
      if (!(error instanceof ControlError)) {
        throw error;
      }
      refuse();
    }
  }

  /** Only committed voters: a replacement that is merely proposed may still fail. */
  private listVoters(): Record<string, string> {
    const {runtime, disk} = this;
    if (!runtime) {
      return disk.snapshots.current?.voters ?? {};
    }
    const {raft} = runtime;
    return Object.fromEntries(raft.listVotersAt(raft.commitIndex));
  }

  /** One try after the other: two that overlap would write the same file. */
  private async runFormation(): Promise<void> {
    while (!this.runtime && !this.isClosed) {
      await this.formOrJoinQuorum();
      await new Promise(resolve => setTimeout(resolve, FORMATION_EVERY_MS));
    }
  }

  private async formOrJoinQuorum(): Promise<void> {
    const {disk, links, settings} = this;
    for (const identity of links?.listIdentities() ?? []) {
      links?.send(identity, {type: 'formation-ask', identity: disk.identity});
    }
    const voters = formQuorum(
      disk.identity,
      [...settings.peers.keys()],
      this.answers,
    );
    if (voters) {
      await disk.snapshots.save({
        index: 0,
        term: 0,
        voters,
        state: new Uint8Array(),
      });
      const isReplacement = voters[settings.name] !== disk.identity;
      this.record(
        isReplacement ? 'awaits-admission' : 'quorum-formed',
        isReplacement
          ? 'a quorum stands that knows this name with another disk'
          : `formed with ${Object.values(voters).join(', ')}`,
      );
      this.startRaft();
    }
  }

  private startRaft(): void {
    const {settings, disk, fleet} = this;
    const runtime = RaftRuntime.create({
      disk,
      clock: systemClock,
      timing: defaultRaftTiming,
      random: Math.random,
      send: (to, message) => this.links?.send(to, message),
      onFailure: error => this.fail(error),
      snapshotEvery: settings.snapshotEvery,
      onChange: () => this.signal.announce(),
    });
    this.runtime = runtime;
    void runtime.roleChanges.observe(({role, reason}) => {
      fleet.clear();
      this.record(`became-${role}`, reason);
    });
    const planner = PlannerLoop.create({runtime, fleet, clock: systemClock});
    this.planner = planner;
    this.handlers = createCallHandlers({
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
    this.timers.push(
      setInterval(() => void this.admitReplacement(), ADMIT_EVERY_MS),
    );
  }

  /**
   * Admits a control process that came back with an empty disk. Only while the
   * disk that it replaces is not connected: two living processes of one name
   * are a mistake in the settings.
   */
  private async admitReplacement(): Promise<void> {
    const {runtime, links} = this;
    if (!runtime?.canAnswer() || runtime.raft.isChangingVoters) {
      return;
    }
    for (const identity of links?.listIdentities() ?? []) {
      const {name} = splitIdentity(identity);
      if (runtime.raft.findVoter(name) !== identity) {
        const command = {
          type: 'set-voter' as const,
          time: Date.now(),
          name,
          identity,
        };
        await runtime.propose(command).catch(() => undefined);
        return;
      }
    }
  }

  private record(type: string, reason: string): void {
    this.events.record({
      type,
      subject: 'control',
      id: this.disk.identity,
      reason,
    });
  }
}
