/** How a connection ended, which decides whether a response that ends with it is whole. */
import {Socket} from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/**
 * Tells the end of a connection from a reset. Node.js reports both as an end: the
 * kernel returns the error of a reset only once, which can be to a write, and libuv
 * takes a hang-up that comes together with data for the end without reading on.
 */
export class ConnectionEnd {
  private fault: string | undefined = 'the server has not ended the connection';

  private constructor() {}

  /**
   * Watches a connection. It sees the end before whatever reads the connection.
   *
   * @example
   * const end = ConnectionEnd.create(socket);
   */
  static create(socket: Socket): ConnectionEnd {
    const end = new ConnectionEnd();
    // Before the listener of the socket itself, after which it takes no more writes.
    socket.prependListener('end', () => (end.fault = findEndFault(socket)));
    return end;
  }

  /** Returns why a response that ends with the connection is not whole; undefined if it is. */
  findFault(): string | undefined {
    return this.fault;
  }
}

function findEndFault(socket: Socket): string | undefined {
  // The error of a reset may be waiting for the write that is under way.
  if (socket.writableLength > 0) {
    return 'the connection ended before the whole request was sent';
  }
  // After the server's end a connection can still be written to; after a reset it can't.
  // An empty write sends nothing, and its error is there when it returns.
  socket.write(NO_BYTES);
  return socket.errored ? 'the connection was reset' : undefined;
}
