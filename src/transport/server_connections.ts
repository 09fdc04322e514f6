/** The connections to one server, up to a limit; requests beyond it wait in order of arrival. */
import {Dispatcher} from 'undici';
import {ExchangeEvents} from './exchange_events';
import {ServerConnection} from './server_connection';

/** A request that waits for a connection. */
interface WaitingRequest {
  readonly options: Dispatcher.DispatchOptions;
  readonly events: ExchangeEvents;
}

export class ServerConnections {
  private readonly connections: ServerConnection[] = [];
  private readonly waiting: WaitingRequest[] = [];
  private isClosing = false;

  private constructor(
    private readonly address: string,
    /** The largest number of connections. */
    readonly limit: number,
  ) {}

  /**
   * Creates a pool without connections.
   *
   * @param address `host:port`
   * @param limit the largest number of connections
   * @example
   * const connections = ServerConnections.create('10.0.0.4:8080', 8);
   */
  static create(address: string, limit: number): ServerConnections {
    return new ServerConnections(address, limit);
  }

  /** Sends a request on a free connection, or as soon as one is free. */
  dispatch(options: Dispatcher.DispatchOptions, events: ExchangeEvents): void {
    this.waiting.push({options, events});
    this.dispatchWaiting();
  }

  /** Closes the connections once all requests have ended. */
  close(): void {
    this.isClosing = true;
    this.closeIdle();
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    this.isClosing = true;
    const error = new Error('the client is closed');
    for (const {events} of this.waiting.splice(0)) {
      events.onError(error);
    }
    await Promise.all(this.connections.map(each => each.destroy()));
  }

  private dispatchWaiting(): void {
    while (this.waiting.length > 0) {
      const connection = this.findFree();
      const next = connection && this.waiting.shift();
      if (!next) {
        return;
      }
      const onFree = () => this.handleFree(connection);
      connection.dispatch(next.options, next.events, onFree);
    }
  }

  private findFree(): ServerConnection | undefined {
    const free = this.connections.find(({isBusy}) => !isBusy);
    if (free || this.connections.length >= this.limit) {
      return free;
    }
    const opened = ServerConnection.create(this.address);
    this.connections.push(opened);
    return opened;
  }

  private handleFree(connection: ServerConnection): void {
    if (!connection.isOpen) {
      this.drop(connection);
    }
    this.dispatchWaiting();
    this.closeIdle();
  }

  private drop(connection: ServerConnection): void {
    const at = this.connections.indexOf(connection);
    if (at >= 0) {
      this.connections.splice(at, 1);
    }
    connection.close();
  }

  private closeIdle(): void {
    if (this.isClosing && this.waiting.length === 0) {
      this.connections
        .filter(({isBusy}) => !isBusy)
        .forEach(connection => this.drop(connection));
    }
  }
}
