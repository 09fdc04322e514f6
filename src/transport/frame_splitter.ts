import {ByteAccumulator} from '../common/byte_accumulator';
import {TransportError} from './transport_error';

const LENGTH_BYTES = 4;

/** Splits a byte stream into length-prefixed frames. */
export class FrameSplitter {
  private readonly pending = ByteAccumulator.create();
  /** Size of the incomplete frame with its length, or of the length until that is known. */
  private neededBytes = LENGTH_BYTES;

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
    if (this.pending.length + chunk.length < this.neededBytes) {
      this.pending.add(chunk);
      return [];
    }
    const bytes = this.takeWith(chunk);
    const frames: Buffer[] = [];
    let start = 0;
    let end = this.findFrameEnd(bytes, start);
    while (end <= bytes.length) {
      frames.push(bytes.subarray(start + LENGTH_BYTES, end));
      start = end;
      end = this.findFrameEnd(bytes, start);
    }
    this.neededBytes = end - start;
    this.pending.add(bytes.subarray(start));
    return frames;
  }

  private takeWith(chunk: Buffer): Buffer {
    if (this.pending.length === 0) {
      return chunk;
    }
    this.pending.add(chunk);
    return this.pending.take();
  }

  /** Finds the end of the frame at `start`, or of its length if that is incomplete; it may be beyond the bytes. */
  private findFrameEnd(bytes: Buffer, start: number): number {
    const payloadStart = start + LENGTH_BYTES;
    if (payloadStart > bytes.length) {
      return payloadStart;
    }
    const length = bytes.readUInt32BE(start);
    if (length > this.maxFrameBytes) {
      throw new TransportError(
        'a frame of %d bytes is over the limit of %d bytes',
        length,
        this.maxFrameBytes,
      );
    }
    return payloadStart + length;
  }
}
