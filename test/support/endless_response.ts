/** A stand-in for a backend server whose response does not end. */
import * as net from 'node:net';

interface EndlessResponseOptions {
  /** Written first; `REQUEST_ID` stands for the id of the request, and line ends are CRLF. */
  readonly start: string;
  /** Written again and again, as it is. */
  readonly piece: string;
}

/** Pieces are joined up to this size, so that writing is not the bottleneck. */
const MIN_WRITE_BYTES = 32 * 1024;

/** Writes with backpressure until its connection closes. */
export class EndlessResponse {
  /** The connections that a response was begun on. */
  readonly sockets: net.Socket[] = [];

  private constructor(private readonly options: EndlessResponseOptions) {}

  static create(options: EndlessResponseOptions): EndlessResponse {
    return new EndlessResponse(options);
  }

  /** True once the other side has closed every connection. */
  get isClosed(): boolean {
    return this.sockets.every(({destroyed}) => destroyed);
  }

  /** Answers a request; a handler of a fake backend server. */
  readonly handle = ({
    headers,
    socket,
  }: {
    readonly headers: ReadonlyMap<string, string>;
    readonly socket: net.Socket;
  }): void => {
    const {start, piece} = this.options;
    const id = headers.get('request-id') ?? '';
    this.sockets.push(socket);
    socket.write(start.replace('REQUEST_ID', id).replaceAll('\n', '\r\n'));
    const count = Math.ceil(MIN_WRITE_BYTES / piece.length);
    const bytes = Buffer.from(piece.repeat(count));
    const writeMore = () => {
      while (!socket.destroyed && socket.write(bytes)) {
        // Writes until the buffer of the socket is full.
      }
    };
    socket.on('drain', writeMore);
    writeMore();
  };
}
