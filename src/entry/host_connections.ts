/** Keeps the entry connected to the first member of every group in the routing table. */
import {Clock} from '../common/clock';
import {ServerAddress} from '../common/server_address';
import {Peer} from '../protocol/peer';
import {TlsCredentials} from '../transport/tls_credentials';
import {HostConnection} from './host_connection';

const RECONNECT_INTERVAL_MS = 200;

/** What connections are opened with. */
interface HostConnectionsOptions {
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly security?: TlsCredentials;
}

/** Connections to host processes, by address. */
export class HostConnections {
  private readonly connections = new Map<string, HostConnection>();
  private readonly connecting = new Map<
    string,
    Promise<HostConnection | undefined>
  >();
  private addresses: ReadonlySet<string> = new Set();
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: HostConnectionsOptions) {
    this.timer = setInterval(
      () => this.connectMissing(),
      RECONNECT_INTERVAL_MS,
    );
  }

  /**
   * Creates an empty pool that reconnects on its own.
   *
   * @example
   * const connections = HostConnections.create({identity, clock});
   * connections.setAddresses(['127.0.0.1:7100']);
   */
  static create(options: HostConnectionsOptions): HostConnections {
    return new HostConnections(options);
  }

  /** Sets the addresses to stay connected to. A connection with attempts in flight stays open. */
  setAddresses(addresses: readonly string[]): void {
    this.addresses = new Set(addresses);
    for (const [address, connection] of this.connections) {
      if (!this.addresses.has(address) && connection.ownAttemptCount === 0) {
        connection.close();
      }
    }
    this.connectMissing();
  }

  /** Finds an open connection. */
  find(address: string): HostConnection | undefined {
    const connection = this.connections.get(address);
    return connection?.isOpen ? connection : undefined;
  }

  /** Finds an open connection or opens one; undefined when that fails. */
  async findOrConnect(address: string): Promise<HostConnection | undefined> {
    return this.find(address) ?? this.connect(address);
  }

  close(): void {
    clearInterval(this.timer);
    this.connections.forEach(connection => connection.close());
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
    const known = ServerAddress.find(address);
    if (!known) {
      // A malformed address counts as an unreachable host.
      return Promise.resolve(undefined);
    }
    const connecting = HostConnection.connect({
      ...this.options,
      address: known,
      onClosed: () => this.connections.delete(address),
    })
      .then(connection => {
        this.connections.set(address, connection);
        return connection;
      })
      .catch(() => undefined)
      .finally(() => this.connecting.delete(address));
    this.connecting.set(address, connecting);
    return connecting;
  }
}
