import {BlockBuffer} from '../../common/block_buffer';
import {ResponseMemory} from './response_memory';

type MemoryShare = ReturnType<ResponseMemory['createShare']>;

/**
 * Each piece counts as this many bytes at least. Handling a piece takes about the
 * same time whatever its size, so a limit of bytes alone allows millions of them.
 */
const MIN_PIECE_BYTES = 64;

/** Why a piece is not held: the response is too long, or the gateway has no memory left for it. */
type HoldFailure = 'too-long' | 'no-room';

/** Holds bytes of one response, up to a length of its own and under the memory of all. */
export class ResponseBuffer {
  private readonly blocks: BlockBuffer;
  private countedBytes = 0;

  private constructor(
    private readonly maxBytes: number,
    share: MemoryShare,
  ) {
    this.blocks = BlockBuffer.create(share);
  }

  /**
   * Creates an empty buffer.
   *
   * @example
   * const buffer = ResponseBuffer.create(MAX_HELD_BYTES, memory.createShare(options));
   */
  static create(maxBytes: number, share: MemoryShare): ResponseBuffer {
    return new ResponseBuffer(maxBytes, share);
  }

  /** Number of bytes that were added. */
  get length(): number {
    return this.blocks.length;
  }

  /** Number of bytes that are allocated. */
  get allocatedBytes(): number {
    return this.blocks.allocatedBytes;
  }

  /** The byte that was added last; undefined if there is none. */
  get lastByte(): number | undefined {
    return this.blocks.lastByte;
  }

  /** Appends a piece; returns why it cannot be held, after which the buffer is of no use until it is cleared. */
  add(piece: Buffer): HoldFailure | undefined {
    this.countedBytes += Math.max(piece.length, MIN_PIECE_BYTES);
    if (this.countedBytes > this.maxBytes) {
      return 'too-long';
    }
    return this.blocks.add(piece) ? undefined : 'no-room';
  }

  /** Returns the bytes, in order, and empties the buffer. */
  takeBlocks(): readonly Buffer[] {
    this.countedBytes = 0;
    return this.blocks.takeBlocks();
  }

  /** Returns the bytes in one buffer, and empties this one. */
  take(): Buffer {
    return Buffer.concat(this.takeBlocks());
  }

  /** Drops the bytes. */
  clear(): void {
    this.blocks.clear();
    this.countedBytes = 0;
  }
}
