import {TransportError} from './transport_error';

const LENGTH_BYTES = 4;

/** Splits a byte stream into length-prefixed frames. */
export class FrameSplitter {
  private pending: Buffer = Buffer.alloc(0);

  private constructor(private readonly maxFrameBytes: number) {}

  /**
   * Creates a splitter that rejects frames over `maxFrameBytes`.
   *
   * @example
   * const splitter = FrameSplitter.create(1024);
   * for (const frame of splitter.split(chunk)) handle(frame);
   */
  static create(maxFrameBytes: number): FrameSplitter {
    return new FrameSplitter(maxFrameBytes);
  }

  /**
   * Adds a chunk and returns the frames that it completes.
   *
   * @throws TransportError when the length prefix of a frame exceeds the limit
   */
  split(chunk: Buffer): Buffer[] {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: Buffer[] = [];
    let offset = 0;
    while (this.pending.length - offset >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(offset);
      if (length > this.maxFrameBytes) {
        throw new TransportError(
          'a frame of %d bytes is over the limit of %d bytes',
          length,
          this.maxFrameBytes,
        );
      }
      const end = offset + LENGTH_BYTES + length;
      if (end > this.pending.length) {
        break;
      }
      frames.push(this.pending.subarray(offset + LENGTH_BYTES, end));
      offset = end;
    }
    this.pending = this.pending.subarray(offset);
    return frames;
  }
}
