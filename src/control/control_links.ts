/** Connections between control processes: each sends on the one that it opened. */
import {connectPeer} from '../protocol/connect_peer';
import {Message} from '../protocol/message';
import {Peer} from '../protocol/peer';
import {splitIdentity} from '../protocol/split_identity';
import {TransportSecurity} from '../transport/transport_security';

const RECONNECT_MS = 100;

/** Who the other control processes are. */
interface ControlLinksOptions {
  readonly identity: Parameters<typeof Peer.create>[1];
  /** Address of each other control process by name. */
  readonly addresses: ReadonlyMap<string, string>;
  readonly security?: TransportSecurity;
  /** A message on an opened connection. */
  readonly onMessage: (
    from: string,
    message: Message,
    reply: (message: Message) => void,
  ) => void;
}

/** Keeps one outgoing connection to every other control process. */
export class ControlLinks {
  private readonly peers = new Map<string, Peer>();
  private isClosed = false;

  private constructor(private readonly options: ControlLinksOptions) {}

  /**
   * Starts connecting, and reconnects for as long as it is open.
   *
   * @example
   * const links = ControlLinks.create({identity, addresses, onMessage});
   */
  static create(options: ControlLinksOptions): ControlLinks {
    const links = new ControlLinks(options);
    for (const [name, address] of options.addresses) {
      void links.runConnection(name, address);
    }
    return links;
  }

  /** Names that answered with this identity are reachable. */
  listIdentities(): string[] {
    return [...this.peers.values()].map(peer => peer.remote.id);
  }

  /** Sends to the process with this identity; dropped when it is not connected. */
  send(identity: string, message: Message): void {
    const peer = this.peers.get(splitIdentity(identity).name);
    if (peer?.remote.id === identity) {
      peer.send(message);
    }
  }

  close(): void {
    this.isClosed = true;
    for (const peer of this.peers.values()) {
      peer.close();
    }
  }

  private async runConnection(name: string, address: string): Promise<void> {
    while (!this.isClosed) {
      await this.connectOnce(name, address).catch(() => undefined);
      await new Promise(resolve => setTimeout(resolve, RECONNECT_MS));
    }
  }

  private async connectOnce(name: string, address: string): Promise<void> {
    const {identity, security, onMessage} = this.options;
    const peer = await connectPeer(address, identity, security);
    if (this.isClosed) {
      peer.close();
      return;
    }
    this.peers.set(name, peer);
    const reply = (message: Message) => peer.send(message);
    void peer.messages.observe(message =>
      onMessage(peer.remote.id, message, reply),
    );
    await peer.closed;
    this.peers.delete(name);
  }
}
