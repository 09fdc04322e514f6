/** A fake backend server whose responses a test writes byte by byte. */
import * as net from 'node:net';

/** A received request with its connection. */
interface ArrivedRequest {
  readonly head: string;
  readonly body: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly socket: net.Socket;
}

type Handler = (request: ArrivedRequest) => void;

interface FakeBackendOptions {
  /** Passes a request to the handler when its head has arrived, and reads no more of it. */
  readonly answersEarly?: boolean;
}

/** Listens on loopback and passes each request to the handler. */
export class FakeBackend {
  readonly requests: ArrivedRequest[] = [];
  private readonly sockets = new Set<net.Socket>();

  private constructor(
    private readonly server: net.Server,
    readonly address: string,
    private readonly options: FakeBackendOptions,
  ) {}

  static async create(
    handle: Handler,
    options: FakeBackendOptions = {},
  ): Promise<FakeBackend> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as net.AddressInfo;
    const address = `127.0.0.1:${port}`;
    const backend = new FakeBackend(server, address, options);
    server.on('connection', socket => backend.accept(socket, handle));
    return backend;
  }

  /** Number of connections that are open now. */
  get openConnectionCount(): number {
    return this.sockets.size;
  }

  /** Ends as a process does that is killed: its port and all connections are closed in order. */
  kill(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.end());
  }

  close(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }

  private accept(socket: net.Socket, handle: Handler): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let pending = '';
    socket.on('data', chunk => {
      pending += chunk.toString('latin1');
      const end = pending.indexOf('\r\n\r\n');
      if (end < 0) {
        return;
      }
      const head = pending.slice(0, end);
      const headers = new Map(
        head
          .split('\r\n')
          .slice(1)
          .map(line => {
            const at = line.indexOf(':');
            const value = line.slice(at + 1).trim();
            return [line.slice(0, at).toLowerCase(), value] as const;
          }),
      );
      if (this.options.answersEarly) {
        socket.pause();
      }
      const length = this.options.answersEarly
        ? 0
        : Number(headers.get('content-length') ?? 0);
      if (pending.length < end + 4 + length) {
        return;
      }
      const body = pending.slice(end + 4, end + 4 + length);
      pending = pending.slice(end + 4 + length);
      const request = {head, body, headers, socket};
      this.requests.push(request);
      handle(request);
    });
  }
}
