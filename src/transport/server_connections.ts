/** The connections to one server, up to a limit; requests beyond it wait in order of arrival. */
import {Dispatcher} from 'undici';
import {FaultBoundary} from '../common/fault_boundary';
import {ServerAddress} from '../common/server_address';
import {ExchangeEvents} from './exchange_events';
import {ServerConnection} from './server_connection';

/** A request that waits for a connection. */
interface WaitingRequest {
  /** The id that the response must carry. */
  readonly id: string;
  readonly options: Dispatcher.DispatchOptions;
  readonly events: ExchangeEvents;
}

/** Lends a connection to each request, and opens one only when no open one is free. */
export class ServerConnections {
  private readonly connections: ServerConnection[] = [];
  private readonly waiting: WaitingRequest[] = [];
  private isClosing = false;

  private constructor(
    private readonly address: ServerAddress,
    /** The largest number of connections. */
    readonly limit: number,
  ) {}

  /**
   * Creates a pool without connections.
   *
   * @param limit the largest number of connections
   * @example
   * const connections = ServerConnections.create(ServerAddress.parse('10.0.0.4:8080'), 8);
   */
  static create(address: ServerAddress, limit: number): ServerConnections {
    return new ServerConnections(address, limit);
  }

  /**
   * Sends a request on a free connection, or as soon as one is free. No
   * connection carries two requests with the same id.
   *
   * @returns a function that withdraws the request while it waits
   */
  dispatch(
    id: string,
    options: Dispatcher.DispatchOptions,
    events: ExchangeEvents,
  ): (reason: Error) => void {
    const request = {id, options, events};
    this.waiting.push(request);
    this.dispatchWaiting();
    return reason => this.withdraw(request, reason);
  }

  /** Closes the connections once all requests have ended. */
  retire(): void {
    this.isClosing = true;
    this.closeIdle();
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    this.isClosing = true;
    const error = new Error('the client is closed');
    for (const {events} of this.waiting.splice(0)) {
      events.onError(error);
    }
    // A request that fails drops its connection from the list.
    const open = this.connections.splice(0);
    await Promise.all(open.map(each => each.close()));
  }

  private withdraw(request: WaitingRequest, reason: Error): void {
    const at = this.waiting.indexOf(request);
    if (at >= 0) {
      this.waiting.splice(at, 1);
      request.events.onError(reason);
      this.closeIdle();
    }
  }

  private dispatchWaiting(): void {
    let canDispatch = true;
    while (canDispatch && this.waiting.length > 0) {
      const [request] = this.waiting;
      // Another request may have freed the connection, and must not fail for this one.
      const boundary = FaultBoundary.create(fault =>
        this.withdraw(request, fault),
      );
      canDispatch = boundary.run(() => this.dispatchFirst()) ?? true;
    }
  }

  /** Sends the request that has waited longest; false if no connection is free for it. */
  private dispatchFirst(): boolean {
    const [{id, options, events}] = this.waiting;
    const connection = this.findFree(id);
    if (!connection) {
      return false;
    }
    this.waiting.shift();
    const onFree = () => this.handleFree(connection);
    connection.dispatch(id, options, events, onFree);
    return true;
  }

  /** Finds a free connection that has not carried the id, or opens one; an unusable free one gives its place. */
  private findFree(id: string): ServerConnection | undefined {
    const free = this.connections.filter(({isBusy}) => !isBusy);
    const usable = free.filter(connection => !connection.hasCarried(id));
    if (usable.length > 0) {
      return usable.find(({isOpen}) => isOpen) ?? usable[0];
    }
    if (this.connections.length >= this.limit) {
      if (free.length === 0) {
        return undefined;
      }
      this.drop(free[0]);
    }
    const opened = ServerConnection.create(this.address);
    this.connections.push(opened);
    return opened;
  }

  private handleFree(connection: ServerConnection): void {
    if (connection.isOpen) {
      this.moveToEnd(connection);
    } else {
      this.drop(connection);
    }
    this.dispatchWaiting();
    this.closeIdle();
  }

  /**
   * Makes the connection that was used last the last choice. A surplus response to its
   * request costs no other request if it arrives while the connection is idle.
   */
  private moveToEnd(connection: ServerConnection): void {
    const at = this.connections.indexOf(connection);
    if (at >= 0) {
      this.connections.splice(at, 1);
      this.connections.push(connection);
    }
  }

  private drop(connection: ServerConnection): void {
    const at = this.connections.indexOf(connection);
    if (at >= 0) {
      this.connections.splice(at, 1);
    }
    connection.retire();
  }

  private closeIdle(): void {
    if (this.isClosing && this.waiting.length === 0) {
      this.connections
        .filter(({isBusy}) => !isBusy)
        .forEach(connection => this.drop(connection));
    }
  }
}
