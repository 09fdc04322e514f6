/** An HTTP server with bounded headers and times. */
import * as http from 'node:http';
import * as net from 'node:net';
import {TransportError} from './transport_error';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 10_000;

/** Where to listen and who answers. */
interface HttpListenerOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly onRequest: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => void;
}

/** Listens for HTTP requests. */
export class HttpListener {
  private constructor(private readonly server: http.Server) {}

  /**
   * Starts listening.
   *
   * @throws TransportError when the address cannot be taken
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

  /** The port that is listened on. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /**
   * Stops listening; connections that stand stay. The HTTP server's own way to
   * close also ends connections whose answer is written and has not left.
   */
  stopAccepting(): void {
    net.Server.prototype.close.call(this.server);
  }

  /** Stops listening and waits for answers under way. */
  async drain(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    await closed;
  }

  /** Stops at once. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }
}
