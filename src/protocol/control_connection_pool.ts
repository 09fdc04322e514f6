/** Pools the connections of one client to control processes: one for each address, shared by its calls. */
import {ServerAddress} from '../common/server_address';
import {ControlConnection} from './control_connection';

type ConnectionOptions = Omit<
  Parameters<typeof ControlConnection.create>[0],
  'address'
>;

/** Opens connections on demand, counts their references and keeps the one to the leader open. */
export class ControlConnectionPool {
  private readonly connections = new Map<string, ControlConnection>();
  private leaderConnection: ControlConnection | undefined;

  private constructor(private readonly options: ConnectionOptions) {}

  /**
   * Creates an empty pool.
   *
   * @example
   * const pool = ControlConnectionPool.create({identity});
   * const connection = pool.acquire(ServerAddress.parse('127.0.0.1:7000'));
   * pool.release(connection);
   */
  static create(options: ConnectionOptions): ControlConnectionPool {
    return new ControlConnectionPool(options);
  }

  /** The connection to the last known leader, while it is usable. */
  get leader(): ControlConnection | undefined {
    return this.leaderConnection?.isUsable ? this.leaderConnection : undefined;
  }

  /** Returns the connection to an address, opened if necessary, with one more reference. */
  acquire(address: ServerAddress): ControlConnection {
    const key = address.toString();
    const pooled = this.connections.get(key);
    const connection = pooled?.isUsable
      ? pooled
      : ControlConnection.create({...this.options, address});
    this.connections.set(key, connection);
    connection.refCount += 1;
    return connection;
  }

  /** Adds a reference to a connection. */
  retain(connection: ControlConnection): void {
    connection.refCount += 1;
  }

  /** Keeps the connection to the leader open, also without references. */
  recordLeader(connection: ControlConnection): void {
    const previous = this.leaderConnection;
    this.leaderConnection = connection;
    if (previous && previous !== connection) {
      this.closeIfUnused(previous);
    }
  }

  /** Forgets a leader that does not lead any more or whose connection has closed. */
  clearLeader(connection: ControlConnection): void {
    if (this.leaderConnection === connection) {
      this.leaderConnection = undefined;
      this.closeIfUnused(connection);
    }
  }

  /** Takes a connection out of the pool, so that the next `acquire` opens another: this one may be dead without being closed. */
  evict(connection: ControlConnection): void {
    const key = connection.address.toString();
    if (this.connections.get(key) === connection) {
      this.connections.delete(key);
    }
    if (this.leaderConnection === connection) {
      this.leaderConnection = undefined;
    }
  }

  /** Drops a reference; closes the connection when it was the last. */
  release(connection: ControlConnection): void {
    connection.refCount -= 1;
    this.closeIfUnused(connection);
  }

  /** Closes every connection. */
  close(): void {
    this.leaderConnection = undefined;
    this.connections.forEach(connection => connection.close());
    this.connections.clear();
  }

  private closeIfUnused(connection: ControlConnection): void {
    if (
      connection.refCount > 0 ||
      (connection === this.leaderConnection && connection.isUsable)
    ) {
      return;
    }
    this.evict(connection);
    connection.close();
  }
}
