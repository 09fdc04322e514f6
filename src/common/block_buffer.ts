import {ByteBudget} from './byte_budget';

type ByteShare = ReturnType<ByteBudget<never>['createShare']>;

/**
 * Blocks grow with what is held, up to this size, so that a short body takes
 * little and a long one few blocks.
 */
const MAX_BLOCK_BYTES = 64 * 1024;
const MIN_BLOCK_BYTES = 1024;

/**
 * Holds bytes under a budget. Pieces are copied, because a piece of a few bytes
 * costs a hundred as an object and can keep the whole read that it came in alive.
 */
export class BlockBuffer {
  private blocks: Buffer[] = [];
  /** Bytes in use of the last block. */
  private lastLength = 0;
  private bytes = 0;

  private constructor(private readonly share: ByteShare) {}

  /**
   * Creates an empty buffer.
   *
   * @example
   * const buffer = BlockBuffer.create(budget.createShare({onEvicted}));
   */
  static create(share: ByteShare): BlockBuffer {
    return new BlockBuffer(share);
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

  /** Appends a piece; false without room for it, after which the buffer is of no use until it is cleared. */
  add(piece: Buffer): boolean {
    let copied = 0;
    while (copied < piece.length) {
      const block = this.findBlock(piece.length - copied);
      if (!block) {
        return false;
      }
      const count = piece.copy(block, this.lastLength, copied);
      copied += count;
      this.lastLength += count;
    }
    this.bytes += piece.length;
    return true;
  }

  /** Returns the bytes, in order, and empties the buffer; its share is released. */
  takeBlocks(): readonly Buffer[] {
    const blocks = this.listFilled();
    this.clear();
    return blocks;
  }

  /**
   * Returns the bytes in one piece, which the share goes on to count, and empties the
   * buffer. Blocks and piece are both in memory only within this call, so all buffers
   * of a process together exceed their budget by no more than one body.
   */
  takeJoined(): Buffer {
    const {bytes, allocatedBytes} = this;
    const blocks = this.listFilled();
    this.dropBlocks();
    if (blocks.length <= 1) {
      return blocks[0] ?? Buffer.alloc(0);
    }
    const joined = Buffer.allocUnsafeSlow(bytes);
    let at = 0;
    blocks.forEach(block => (at += block.copy(joined, at)));
    this.share.release(allocatedBytes - bytes);
    return joined;
  }

  /** Drops the bytes. */
  clear(): void {
    this.share.release();
    this.dropBlocks();
  }

  private dropBlocks(): void {
    this.blocks = [];
    this.lastLength = 0;
    this.bytes = 0;
  }

  private listFilled(): Buffer[] {
    const {blocks, lastLength} = this;
    return blocks.map((block, at) =>
      at === blocks.length - 1 ? block.subarray(0, lastLength) : block,
    );
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
