/** An answer that is not a stream is held until it is whole, so that it can be repeated. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;

/** Parts of one answer's body, up to a limit. */
export class BufferedBody {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  private constructor() {}

  /**
   * Creates an empty body.
   *
   * @example
   * const held = HeldBody.create();
   */
  static create(): BufferedBody {
    return new BufferedBody();
  }

  /** Keeps one part; false when the body is too large to hold. */
  add(chunk: Buffer): boolean {
    this.bytes += chunk.length;
    const hasRoom = this.bytes <= MAX_HELD_BYTES;
    if (hasRoom) {
      this.chunks.push(chunk);
    }
    return hasRoom;
  }

  /** The whole body. */
  copyWhole(): Buffer {
    return Buffer.concat(this.chunks);
  }
}
