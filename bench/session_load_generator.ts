import {ServerAddress} from '../src/common/server_address';
/** Loads control with many host and entry sessions from one process, without engines or requests. */
import {Message} from '../src/protocol/message';
import {MessageOf} from '../src/protocol/message_of';
import {messageCodec} from '../src/protocol/message_codec';
import {connectPeer} from '../src/protocol/connect_peer';
import {Group} from '../src/protocol/group';
import {Peer} from '../src/protocol/peer';
import {FrameServer} from '../src/transport/frame_server';

const HOST_REPORT_INTERVAL_MS = 300;
const ENTRY_REPORT_INTERVAL_MS = 250;
const CLOCK_MESSAGE_INTERVAL_MS = 1_000;
const HOSTS_PER_GROUP = 8;
const FRAME_HEADER_BYTES = 4;

/** Traffic as counted by the sessions. */
interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  answers: number;
}

/** Simulated hosts and entries that report to control and obey its directives. */
export class SessionLoadGenerator {
  readonly traffic: Traffic = {sentBytes: 0, receivedBytes: 0, answers: 0};
  /** The bundle version in the latest directive to each session. */
  readonly bundleVersions = new Map<string, number>();
  private readonly peers: Peer[] = [];
  private readonly servers: FrameServer[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private isClosed = false;

  private constructor(private readonly leader: string) {}

  /**
   * Creates a generator without sessions.
   *
   * @param leader address of the control leader
   */
  static create(leader: string): SessionLoadGenerator {
    return new SessionLoadGenerator(leader);
  }

  /** Adds hosts `from` to `to` (exclusive), eight in each fabric domain. */
  async addHosts(from: number, to: number): Promise<void> {
    for (let at = from; at < to; at += 1) {
      await this.addHost(
        `light-${at}`,
        `domain-${Math.floor(at / HOSTS_PER_GROUP)}`,
        at,
      );
    }
  }

  /** Adds entries `from` to `to` (exclusive). */
  async addEntries(from: number, to: number): Promise<void> {
    for (let at = from; at < to; at += 1) {
      await this.addEntry(`entry-${at}`);
    }
  }

  close(): void {
    this.isClosed = true;
    this.timers.forEach(timer => clearInterval(timer));
    this.peers.forEach(peer => peer.close());
    this.servers.forEach(server => void server.close());
  }

  private async addHost(
    hostId: string,
    domain: string,
    at: number,
  ): Promise<void> {
    const incarnation = `i-${at}`;
    const port = await this.listenForEntries(hostId, incarnation);
    let group: Group | null = null;
    let bundleVersion = 0;
    const peer = await this.connect(
      {program: 'host', id: hostId, incarnation},
      message => {
        if (message.type === 'host-directive') {
          group = message.group === undefined ? group : message.group;
          bundleVersion = message.bundleVersion;
          this.bundleVersions.set(hostId, bundleVersion);
        }
      },
    );
    this.scheduleReports(HOST_REPORT_INTERVAL_MS, call => {
      const isFirstMember = group?.members[0].hostId === hostId;
      this.send(peer, {
        type: 'host-report',
        call,
        report: {
          hostId,
          incarnation,
          zone: 'zone-1',
          domain,
          address: `127.0.0.1:${port}`,
          backend: {kind: 'model', name: 'assistant', accelerators: 8},
          isLeaving: false,
          assignment: group && {groupId: group.id, epoch: group.epoch},
          told: group && {fencing: group.fencing, isDraining: group.isDraining},
          isServing: isFirstMember,
          missing: [],
          running: 0,
          isDrained: false,
          bundleVersion,
        },
      });
    });
  }

  private async addEntry(entryId: string): Promise<void> {
    let bundleVersion = 0;
    let tableVersion = 0;
    const identity = {program: 'entry' as const, id: entryId, incarnation: 'i'};
    const peer = await this.connect(identity, message => {
      if (message.type === 'entry-directive') {
        ({bundleVersion, tableVersion} = message);
        this.bundleVersions.set(entryId, bundleVersion);
      }
    });
    this.scheduleReports(ENTRY_REPORT_INTERVAL_MS, call => {
      this.send(peer, {
        type: 'entry-report',
        call,
        entryId,
        bundleVersion,
        tableVersion,
      });
    });
  }

  /** Accepts connections of real entries and sends them clock messages, as the first member of a group does. */
  private async listenForEntries(
    id: string,
    incarnation: string,
  ): Promise<number> {
    const server = await FrameServer.create({
      host: '127.0.0.1',
      port: 0,
      onConnection: connection => {
        void Peer.create(connection, {program: 'host', id, incarnation})
          .then(peer => {
            const sendClock = () =>
              peer.send({
                type: 'clock',
                incarnation,
                now: performance.now(),
                running: 0,
              });
            sendClock();
            this.timers.push(setInterval(sendClock, CLOCK_MESSAGE_INTERVAL_MS));
          })
          .catch(() => undefined);
      },
    });
    this.servers.push(server);
    return server.port;
  }

  private async connect(
    identity: Parameters<typeof Peer.create>[1],
    onAnswer: (
      message: MessageOf<Message, 'host-directive' | 'entry-directive'>,
    ) => void,
  ): Promise<Peer> {
    const peer = await connectPeer(ServerAddress.parse(this.leader), identity);
    this.peers.push(peer);
    void peer.messages.observe(message => {
      this.traffic.answers += 1;
      this.traffic.receivedBytes +=
        messageCodec.encode(message).length + FRAME_HEADER_BYTES;
      onAnswer(message as never);
    });
    return peer;
  }

  /** Repeats a report with a random phase, since independent processes are not synchronised either. */
  private scheduleReports(
    periodMs: number,
    report: (call: number) => void,
  ): void {
    let call = 0;
    setTimeout(() => {
      if (!this.isClosed) {
        this.timers.push(setInterval(() => report((call += 1)), periodMs));
      }
    }, Math.random() * periodMs).unref();
  }

  private send(peer: Peer, message: Message): void {
    this.traffic.sentBytes +=
      messageCodec.encode(message).length + FRAME_HEADER_BYTES;
    peer.send(message);
  }
}
