/** Limits the bytes of a connection that carry no response body: heads, interim responses, chunk framing, trailers. */
import {Socket} from 'node:net';

/**
 * Allowed from the start of one request to the start of the next. A head may have
 * 16 KiB, and trailers as much; interim responses share the rest.
 */
const MAX_FRAMING_BYTES = 64 * 1024;
/**
 * Allowed in addition for each piece of a body, because a stream has one small
 * chunk for each event. A chunk takes 20 bytes at most besides its data and extensions.
 */
const FRAMING_BYTES_PER_PIECE = 64;

/**
 * Meters one connection. The parser of the HTTP client limits only the names and
 * values of headers: it reads a status line, empty lines before it, the digits of a
 * chunk size and chunk extensions for as long as they come. All of them are bytes
 * that yield no body, so that one limit covers each part.
 */
export class FramingMeter {
  private startedAt = 0;
  private bodyBytes = 0;
  private pieces = 0;

  private constructor(private readonly socket: Socket) {}

  /**
   * Creates a meter. It checks after each read, so it needs no timer; call it once
   * the parser listens for `readable` itself, as the parser must be first to read.
   *
   * @param onExceeded called after each read while the limit is exceeded
   * @example
   * const meter = FramingMeter.create(socket, () => controller.abort(error));
   */
  static create(socket: Socket, onExceeded: () => void): FramingMeter {
    const meter = new FramingMeter(socket);
    socket.on('readable', () => {
      if (!socket.destroyed && meter.isExceeded) {
        onExceeded();
      }
    });
    return meter;
  }

  /** Starts to count for a new request. */
  reset(): void {
    this.startedAt = this.consumedBytes;
    this.bodyBytes = 0;
    this.pieces = 0;
  }

  /** Records a piece of a body. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
    this.pieces += 1;
  }

  private get isExceeded(): boolean {
    const framing = this.consumedBytes - this.startedAt - this.bodyBytes;
    return framing > MAX_FRAMING_BYTES + FRAMING_BYTES_PER_PIECE * this.pieces;
  }

  /** What the parser has taken; while a response is paused, the rest waits in the socket. */
  private get consumedBytes(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }
}
