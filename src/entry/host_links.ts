/** Keeps a link to the first member of every group in the routing table. */
import {Clock} from '../common/clock';
import {Peer} from '../protocol/peer';
import {TlsCredentials} from '../transport/tls_credentials';
import {HostLink} from './host_link';

const RECONNECT_MS = 200;

/** What the links are opened with. */
interface HostLinksOptions {
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly security?: TlsCredentials;
}

/** Links by address. */
export class HostLinks {
  private readonly links = new Map<string, HostLink>();
  private readonly connecting = new Map<
    string,
    Promise<HostLink | undefined>
  >();
  private wanted: ReadonlySet<string> = new Set();
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
  static create(options: HostLinksOptions): HostLinks {
    return new HostLinks(options);
  }

  /** Sets the addresses to stay connected to. Links with work on them stay open. */
  setWanted(addresses: readonly string[]): void {
    this.wanted = new Set(addresses);
    for (const [address, link] of this.links) {
      if (!this.wanted.has(address) && link.ownRunning === 0) {
        link.close();
      }
    }
    this.connectMissing();
  }

  /** An open link, if there is one. */
  find(address: string): HostLink | undefined {
    const link = this.links.get(address);
    return link?.isOpen ? link : undefined;
  }

  /** An open link, connecting if need be; undefined when nobody answers. */
  async connectTo(address: string): Promise<HostLink | undefined> {
    return this.find(address) ?? this.connect(address);
  }

  close(): void {
    clearInterval(this.timer);
    this.links.forEach(link => link.close());
  }

  private connectMissing(): void {
    for (const address of this.wanted) {
      if (!this.find(address)) {
        void this.connect(address);
      }
    }
  }

  private connect(address: string): Promise<HostLink | undefined> {
    const pending = this.connecting.get(address);
    if (pending) {
      return pending;
    }
    const connecting = HostLink.connect({
      ...this.options,
      address,
      onClosed: () => this.links.delete(address),
    })
      .then(link => {
        this.links.set(address, link);
        return link;
      })
      .catch(() => undefined)
      .finally(() => this.connecting.delete(address));
    this.connecting.set(address, connecting);
    return connecting;
  }
}
