/** Decides for all HTTP clients whether what arrived on a connection is a whole response. */
import {Socket} from 'node:net';
import {ConnectionEnd} from './connection_end';
import {ResponseFraming} from './response_framing';

/**
 * Reads what the HTTP client reads, before the client does. A response is whole only if
 * both agree on its status, its end and the number of its body's bytes.
 */
export class ResponseCheck {
  private framing: ResponseFraming | undefined;
  /** Bytes of the connection that were read. */
  private position = 0;
  private deliveredBytes = 0;
  private readonly end: ConnectionEnd;

  private constructor(private readonly socket: Socket) {
    this.end = ConnectionEnd.create(socket);
    // Unlike `on`, it does not make the socket flow.
    socket.prependListener('data', (chunk: Buffer) => this.read(chunk));
  }

  /**
   * Creates a check for the responses on a connection, one after another.
   *
   * @example
   * const check = ResponseCheck.create(socket);
   * check.begin('GET');
   */
  static create(socket: Socket): ResponseCheck {
    return new ResponseCheck(socket);
  }

  /** Begins with the response to a new request. */
  begin(method: string): void {
    this.framing = ResponseFraming.create(method);
    this.position = this.consumedBytes;
    this.deliveredBytes = 0;
  }

  /** True if only the end of the connection ends the response, be it by the server or with it. */
  get endsWithConnection(): boolean {
    return this.framing?.endsWithConnection ?? false;
  }

  /** Returns why a head that the client reports is not that of a valid response; undefined if it is. */
  findHeadFault(status: number): string | undefined {
    const {fault, status: received} = this.framing ?? {};
    const isSame = status === received;
    return fault ?? (isSame ? undefined : 'its head is not the one received');
  }

  /** Records a piece of the body that the client delivers; returns why it must not be used. */
  recordBody(bytes: number): string | undefined {
    this.deliveredBytes += bytes;
    return this.framing?.fault;
  }

  /** Returns why a response that the client takes for complete is not whole; undefined if it is. */
  findFault(): string | undefined {
    const {framing, deliveredBytes} = this;
    if (framing === undefined || framing.fault) {
      return framing?.fault ?? 'nothing was read';
    }
    if (framing.endsWithConnection) {
      const fault = this.end.findFault();
      if (fault) {
        return fault;
      }
    } else if (!framing.isComplete) {
      return 'it is not complete';
    }
    return framing.bodyBytes === deliveredBytes
      ? undefined
      : 'its body is not the one received';
  }

  /** Reads what it has not read yet: a client may put bytes back and read them again. */
  private read(chunk: Buffer): void {
    const start = this.consumedBytes - chunk.length;
    const unread = chunk.subarray(Math.max(0, this.position - start));
    this.position += unread.length;
    this.framing?.read(unread);
  }

  /** What was taken from the socket; the rest waits there. */
  private get consumedBytes(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }
}
