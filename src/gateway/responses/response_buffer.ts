import {ResponseMemory} from './response_memory';

type MemoryShare = ReturnType<ResponseMemory['createShare']>;

/**
 * Blocks grow with what is held, up to this size, so that a short answer takes
 * little and a long one few blocks.
 */
const MAX_BLOCK_BYTES = 64 * 1024;
const MIN_BLOCK_BYTES = 1024;
/**
 * Each piece counts as this many bytes at least. Handling a piece takes about the
 * same time whatever its size, so a limit of bytes alone allows millions of them.
 */
const MIN_PIECE_BYTES = 64;

/** Why a piece is not held: the response is too long, or the gateway has no memory left for it. */
type HoldFailure = 'too-long' | 'no-room';

/**
 * Holds bytes of one response. Pieces are copied, because a piece of a few bytes
 * costs a hundred as an object and can keep the whole read that it came in alive.
 */
export class ResponseBuffer {
  private blocks: Buffer[] = [];
  /** Bytes in use of the last block. */
  private lastLength = 0;
  private bytes = 0;
  private countedBytes = 0;

  private constructor(
    private readonly maxBytes: number,
    private readonly share: MemoryShare,
  ) {}

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
    return this.bytes;
  }

  /** Number of bytes that are allocated. */
  get allocatedBytes(): number {
    return this.blocks.reduce((sum, {length}) => sum + length, 0);
  }

  /** The byte that was added last; undefined if there is none. */
  get lastByte(): number | undefined {
    return this.blocks.at(-1)?.[this.lastLength - 1];
  }

  /** Appends a piece; returns why it cannot be held, after which the buffer is of no use until it is cleared. */
  add(piece: Buffer): HoldFailure | undefined {
    this.countedBytes += Math.max(piece.length, MIN_PIECE_BYTES);
    if (this.countedBytes > this.maxBytes) {
      return 'too-long';
    }
    let copied = 0;
    while (copied < piece.length) {
      const block = this.findBlock(piece.length - copied);
      if (!block) {
        return 'no-room';
      }
      const count = piece.copy(block, this.lastLength, copied);
      copied += count;
      this.lastLength += count;
    }
    this.bytes += piece.length;
    return undefined;
  }

  /** Returns the bytes, in order, and empties the buffer. */
  takeBlocks(): readonly Buffer[] {
    const {blocks, lastLength} = this;
    this.clear();
    return blocks.map((block, at) =>
      at === blocks.length - 1 ? block.subarray(0, lastLength) : block,
    );
  }

  /** Returns the bytes in one buffer, and empties this one. */
  take(): Buffer {
    return Buffer.concat(this.takeBlocks());
  }

  /** Drops the bytes. */
  clear(): void {
    this.share.release();
    this.blocks = [];
    this.lastLength = 0;
    this.bytes = 0;
    this.countedBytes = 0;
  }

  /** Returns the last block, or a new one if that is full; undefined without room for one. */
  private findBlock(wanted: number): Buffer | undefined {
    const last = this.blocks.at(-1);
    if (last && this.lastLength < last.length) {
      return last;
    }
    const wantedSize = Math.max(MIN_BLOCK_BYTES, wanted, this.bytes);
    const size = Math.min(MAX_BLOCK_BYTES, wantedSize);
    if (!this.share.reserve(size)) {
      return undefined;
    }
    // Not from the shared pool, which a part that is in use keeps alive.
    const block = Buffer.allocUnsafeSlow(size);
    this.blocks.push(block);
    this.lastLength = 0;
    return block;
  }
}
