/** TCP or TLS server for frame connections. */
import * as net from 'node:net';
import * as tls from 'node:tls';
import {FrameConnection} from './frame_connection';
import {TransportError} from './transport_error';
import {TlsCredentials} from './tls_credentials';

const DEFAULT_MAX_CONNECTIONS = 20_000;

/** Where to listen, and the handler of new connections. */
interface FrameServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly security?: TlsCredentials;
  readonly maxConnections?: number;
  readonly onConnection: (connection: FrameConnection) => void;
}

/** Accepts frame connections, passes each to a handler and closes them all on `close`. */
export class FrameServer {
  private readonly connections = new Set<FrameConnection>();

  private constructor(private readonly server: net.Server) {}

  /**
   * Starts listening.
   *
   * @throws TransportError when the address cannot be bound
   * @example
   * const server = await FrameServer.create({host: '127.0.0.1', port: 0, onConnection: acceptPeer});
   */
  static async create(options: FrameServerOptions): Promise<FrameServer> {
    const security = options.security;
    const server = security
      ? tls.createServer({
          ca: security.authority,
          cert: security.certificate,
          key: security.key,
          requestCert: true,
          rejectUnauthorized: true,
          minVersion: 'TLSv1.3',
        })
      : net.createServer();
    server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    const frameServer = new FrameServer(server);
    server.on(
      security ? 'secureConnection' : 'connection',
      (socket: net.Socket) => {
        frameServer.accept(socket, options.onConnection);
      },
    );
    await listen(server, options.host, options.port);
    return frameServer;
  }

  /** The port that the server listens on. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Stops listening and closes every connection. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const connection of this.connections) {
      connection.close();
    }
    await closed;
  }

  private accept(
    socket: net.Socket,
    onConnection: (connection: FrameConnection) => void,
  ): void {
    const connection = FrameConnection.create(socket);
    this.connections.add(connection);
    void connection.closed.then(() => this.connections.delete(connection));
    onConnection(connection);
  }
}

function listen(server: net.Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', error => {
      reject(new TransportError(error, 'cannot listen on %s:%d', host, port));
    });
    server.listen(port, host, resolve);
  });
}
