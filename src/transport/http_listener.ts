/** HTTP server with limits on heads, idle time and connections, which answers the requests of a connection one at a time. */
import * as http from 'node:http';
import * as net from 'node:net';
import {EventRing} from '../common/event_ring';
import {systemClock} from '../common/system_clock';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {HttpConnection} from './http_connection';
import {HttpConnections} from './http_connections';
import {HttpLimits} from './http_limits';
import {TransportError} from './transport_error';

const DEFAULT_LIMITS: HttpLimits = {
  maxHeaderBytes: 16 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Beyond the limit for heads, which may leave the request line out of account. */
const REQUEST_LINE_BYTES = 1024;
/** The parser gets only complete heads, whose size was checked before. */
const PARSER_MAX_HEAD_BYTES = 1024 * 1024;
const REQUEST_TIMEOUT_MS = 60_000;
const CHECK_INTERVAL_MS = 500;

/** Where to listen, and the request handler. */
interface HttpListenerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  /** Handles one request; the next one of the same connection begins after its response has ended. */
  readonly onRequest: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => void;
  /** Open connections at any time. */
  readonly maxConnections: number;
  /** Bytes of unfinished heads and of requests sent ahead, on all connections together. */
  readonly maxHeldBytes?: number;
  /** Where it is recorded that connections are ended to keep a limit, and for which process. */
  readonly log?: {readonly events: EventRing; readonly id: string};
  /** Returns the limits in force, which also hold for open connections; undefined for the defaults. */
  readonly readLimits?: () => HttpLimits | undefined;
}

/** Listens for HTTP requests; can drain before it closes. */
export class HttpListener {
  private readonly connections: HttpConnections;
  private readonly connectionOf = new WeakMap<net.Socket, HttpConnection>();
  private readonly callbacks: Parameters<typeof HttpConnection.create>[1] = {
    onRequest: (message, response) => this.handle(message, response),
    onPhase: changed => this.connections.move(changed),
    onHeld: changed => this.connections.updateHeld(changed),
    onFault: ({message}) => this.recordEnded(`an internal error: ${message}`),
    readMaxHeadBytes: () =>
      this.readLimits().maxHeaderBytes + REQUEST_LINE_BYTES,
  };
  private readonly timer: NodeJS.Timeout;
  private readonly lines: ThrottledEventLog | undefined;

  private constructor(
    private readonly server: http.Server,
    private readonly options: HttpListenerOptions,
  ) {
    this.connections = HttpConnections.create({
      clock: systemClock,
      maxConnections: options.maxConnections,
      maxHeldBytes: options.maxHeldBytes,
      readLimits: () => this.readLimits(),
      readStatedIdleMs: () => server.keepAliveTimeout,
      onEnded: reason => this.recordEnded(reason),
    });
    const {log} = options;
    this.lines = log && ThrottledEventLog.create(log.events, systemClock);
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /**
   * Starts listening.
   *
   * @throws TransportError when the address cannot be bound
   * @example
   * const listener = await HttpListener.create({host: '127.0.0.1', port: 8080, onRequest, maxConnections: 64});
   */
  static create(options: HttpListenerOptions): Promise<HttpListener> {
    const {host, port} = options;
    const server = http.createServer({
      maxHeaderSize: PARSER_MAX_HEAD_BYTES,
      // Such a request is answered in its turn, like any other.
      requireHostHeader: false,
      requestTimeout: REQUEST_TIMEOUT_MS,
      // Heads are timed here: Node's parser gets only complete ones.
      headersTimeout: 0,
    });
    return new Promise((resolve, reject) => {
      const rejectListen = (error: Error) =>
        reject(new TransportError(error, 'cannot listen on %s:%d', host, port));
      server.once('error', rejectListen);
      server.listen(port, host, () => {
        server.off('error', rejectListen);
        const listener = new HttpListener(server, options);
        listener.watch();
        resolve(listener);
      });
    });
  }

  /** The port that the server listens on. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /**
   * Stops listening and keeps the open connections. `http.Server.close` would also
   * end connections whose response is written but not sent yet.
   */
  stopAccepting(): void {
    net.Server.prototype.close.call(this.server);
  }

  /** Stops listening and waits for the requests in progress. */
  async drain(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    await closed;
    clearInterval(this.timer);
  }

  /** Stops listening and closes every connection at once. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
    clearInterval(this.timer);
  }

  private watch(): void {
    const {server} = this;
    this.check();
    server.on('connection', socket => this.addConnection(socket));
    const add = (
      message: http.IncomingMessage,
      response: http.ServerResponse,
    ) => this.connectionOf.get(message.socket)?.add(message, response);
    server.on('request', add);
    server.on('checkExpectation', add);
    // Node would close idle connections by the time that responses state, without a margin for new limits.
    server.on('timeout', () => undefined);
    // The process has no descriptor left to accept a connection with: an open one is closed.
    server.on('error', ({message}) => {
      this.recordEnded(`a connection could not be accepted: ${message}`);
      this.connections.evict();
    });
  }

  private addConnection(socket: net.Socket): void {
    const connection = HttpConnection.create(socket, this.callbacks);
    this.connectionOf.set(socket, connection);
    socket.once('close', () => this.connections.remove(connection));
    this.connections.add(connection);
  }

  private handle(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {headers, httpVersion} = message;
    const {expect = '100-continue', host} = headers;
    if (httpVersion === '1.1' && host === undefined) {
      rejectRequest(response, 400);
      return;
    }
    if (expect.toLowerCase() !== '100-continue') {
      rejectRequest(response, 417);
      return;
    }
    this.options.onRequest(message, response);
  }

  private recordEnded(reason: string): void {
    this.lines?.record(reason, {
      type: 'connection-ended',
      subject: 'process',
      id: this.options.log?.id ?? '',
      reason,
      details: this.connections.describe(),
    });
  }

  private check(): void {
    this.server.keepAliveTimeout = this.readLimits().idleTimeoutMs;
    // What arrived while the process was suspended is read first.
    if (this.connections.size > 0) {
      setImmediate(() => this.connections.expire());
    }
  }

  private readLimits(): HttpLimits {
    return this.options.readLimits?.() ?? DEFAULT_LIMITS;
  }
}

function rejectRequest(response: http.ServerResponse, status: number): void {
  response.shouldKeepAlive = false;
  response.writeHead(status, {'content-length': '0'});
  response.end();
}
