/** Connections between control processes: each sends on the one that it opened. */
import {Clock} from '../common/clock';
import {connectPeer} from '../protocol/connect_peer';
import {Message} from '../protocol/message';
import {Peer} from '../protocol/peer';
import {splitIdentity} from '../protocol/split_identity';
import {TlsCredentials} from '../transport/tls_credentials';

const RECONNECT_MS = 100;
/** Between two questions that only show that a connection still carries bytes. */
const PROBE_EVERY_MS = 400;
/** Silence after which a connection is given up: several probes were not answered. */
const SILENT_MS = 1_500;

/** Who the other control processes are. */
interface ControlLinksOptions {
  readonly identity: Parameters<typeof Peer.create>[1];
  /** Address of each other control process by name. */
  readonly addresses: ReadonlyMap<string, string>;
  readonly clock: Clock;
  readonly security?: TlsCredentials;
  /** A message on an opened connection. */
  readonly onMessage: (
    from: string,
    message: Message,
    reply: (message: Message) => void,
  ) => void;
  /** A message could not be handled; its connection ends. */
  readonly onFailure: (from: string, error: Error) => void;
}

interface Link {
  readonly peer: Peer;
  heardAt: number;
}

/** Keeps one outgoing connection to every other control process. */
export class ControlLinks {
  private readonly links = new Map<string, Link>();
  private readonly addresses = new Map<string, string>();
  /** When a process last answered, by identity. */
  private readonly heardAt = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;

  private constructor(private readonly options: ControlLinksOptions) {
    this.timer = setInterval(() => this.probe(), PROBE_EVERY_MS);
  }

  /**
   * Starts connecting, and reconnects for as long as it is open.
   *
   * @example
   * const links = ControlLinks.create({identity, addresses, clock, onMessage, onFailure});
   */
  static create(options: ControlLinksOptions): ControlLinks {
    const links = new ControlLinks(options);
    for (const [name, address] of options.addresses) {
      links.add(name, address);
    }
    return links;
  }

  /** Keeps a connection to one more process. */
  add(name: string, address: string): void {
    if (!this.addresses.has(name)) {
      this.addresses.set(name, address);
      void this.runConnection(name, address);
    }
  }

  /** Names that answered with this identity are reachable. */
  listIdentities(): string[] {
    return [...this.links.values()].map(link => link.peer.remote.id);
  }

  /** When the process with this identity last answered; undefined for never. */
  findHeardAt(identity: string): number | undefined {
    return this.heardAt.get(identity);
  }

  /** Sends to the process with this identity; dropped when it is not connected. */
  send(identity: string, message: Message): void {
    const link = this.links.get(splitIdentity(identity).name);
    if (link?.peer.remote.id === identity) {
      link.peer.send(message);
    }
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const link of this.links.values()) {
      link.peer.close();
    }
  }

  /** A cut that says nothing would otherwise hold a connection for minutes. */
  private probe(): void {
    const now = this.options.clock.now();
    const identity = this.options.identity.id;
    for (const {peer, heardAt} of this.links.values()) {
      if (now - heardAt > SILENT_MS) {
        peer.close();
      } else {
        peer.send({type: 'formation-ask', identity});
      }
    }
  }

  private async runConnection(name: string, address: string): Promise<void> {
    while (!this.isClosed) {
      await this.connectOnce(name, address).catch(() => undefined);
      await new Promise(resolve => setTimeout(resolve, RECONNECT_MS));
    }
  }

  private async connectOnce(name: string, address: string): Promise<void> {
    const {identity, security, onMessage, onFailure, clock} = this.options;
    const peer = await connectPeer(address, identity, security);
    if (this.isClosed) {
      peer.close();
      return;
    }
    const link = {peer, heardAt: clock.now()};
    this.links.set(name, link);
    const reply = (message: Message) => peer.send(message);
    void peer.messages
      .observe(message => {
        link.heardAt = clock.now();
        this.heardAt.set(peer.remote.id, link.heardAt);
        onMessage(peer.remote.id, message, reply);
      })
      .catch((error: Error) => {
        onFailure(peer.remote.id, error);
        peer.close();
      });
    await peer.closed;
    this.links.delete(name);
  }
}
