/** Responses other than streams are buffered until complete, so that the request can still be retried. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Buffers one response body up to a fixed size. */
export class BufferedBody {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  private constructor() {}

  /**
   * Creates an empty body.
   *
   * @example
   * const body = BufferedBody.create();
   */
  static create(): BufferedBody {
    return new BufferedBody();
  }

  /** Appends a chunk; false when the body exceeds the limit. */
  add(chunk: Buffer): boolean {
    this.bytes += chunk.length;
    const hasRoom = this.bytes <= MAX_BUFFERED_BYTES;
    if (hasRoom) {
      this.chunks.push(chunk);
    }
    return hasRoom;
  }

  /** Returns the body in one buffer. */
  copyBytes(): Buffer {
    return Buffer.concat(this.chunks);
  }
}
