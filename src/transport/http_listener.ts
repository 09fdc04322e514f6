/** HTTP server with limits on header size, request time and connections. */
import * as http from 'node:http';
import * as net from 'node:net';
import {TransportError} from './transport_error';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 10_000;

/** Where to listen, and the request handler. */
interface HttpListenerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly onRequest: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => void;
}

/** Listens for HTTP requests; can drain before it closes. */
export class HttpListener {
  private constructor(private readonly server: http.Server) {}

  /**
   * Starts listening.
   *
   * @throws TransportError when the address cannot be bound
   * @example
   * const listener = await HttpListener.create({host: '127.0.0.1', port: 8080, onRequest});
   */
  static create(options: HttpListenerOptions): Promise<HttpListener> {
    const {host, port, onRequest} = options;
    const server = http.createServer(
      {maxHeaderSize: MAX_HEADER_BYTES},
      onRequest,
    );
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.maxConnections = MAX_CONNECTIONS;
    return new Promise((resolve, reject) => {
      server.once('error', error => {
        reject(new TransportError(error, 'cannot listen on %s:%d', host, port));
      });
      server.listen(port, host, () => resolve(new HttpListener(server)));
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
  }

  /** Stops listening and closes every connection at once. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }
}
