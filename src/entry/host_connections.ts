/** Keeps a link to the first member of every group in the routing table. */
import {Clock} from '../common/clock';
import {Peer} from '../protocol/peer';
import {TransportSecurity} from '../transport/transport_security';
import {HostConnection} from './host_connection';

const RECONNECT_MS = 200;

/** What the links are opened with. */
interface HostLinksOptions {
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly security?: TransportSecurity;
}

/** Links by address. */
export class HostConnections {
  private readonly connections = new Map<string, HostConnection>();
  private readonly connecting = new Map<
    string,
    Promise<HostConnection | undefined>
  >();
  private addresses: ReadonlySet<string> = new Set();
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: HostLinksOptions) {
    this.timer = setInterval(() => this.connectMissing(), RECONNECT_MS);
  }

  /**
   * Creates an empty set of links that reconnects by itself.
   *
   * @example
   * const links = HostLinks.create({identity, clock});
   * links.setWanted(['127.0.0.1:7100']);
   */
  static create(options: HostLinksOptions): HostConnections {
    return new HostConnections(options);
  }

  /** Sets the addresses to stay connected to. Links with work on them stay open. */
  setAddresses(addresses: readonly string[]): void {
    this.addresses = new Set(addresses);
    for (const [address, link] of this.connections) {
      if (!this.addresses.has(address) && link.ownAttemptCount === 0) {
        link.close();
      }
    }
    this.connectMissing();
  }

  /** An open link, if there is one. */
  find(address: string): HostConnection | undefined {
    const link = this.connections.get(address);
    return link?.isOpen ? link : undefined;
  }

  /** An open link, connecting if need be; undefined when nobody answers. */
  async findOrConnect(address: string): Promise<HostConnection | undefined> {
    return this.find(address) ?? this.connect(address);
  }

  close(): void {
    clearInterval(this.timer);
    this.connections.forEach(link => link.close());
  }

  private connectMissing(): void {
    for (const address of this.addresses) {
      if (!this.find(address)) {
        void this.connect(address);
      }
    }
  }

  private connect(address: string): Promise<HostConnection | undefined> {
    const pending = this.connecting.get(address);
    if (pending) {
      return pending;
    }
    const connecting = HostConnection.connect({
      ...this.options,
      address,
      onClosed: () => this.connections.delete(address),
    })
      .then(link => {
        this.connections.set(address, link);
        return link;
      })
      .catch(() => undefined)
      .finally(() => this.connecting.delete(address));
    this.connecting.set(address, connecting);
    return connecting;
  }
}
