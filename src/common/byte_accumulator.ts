/** Bytes that arrive in pieces of any size and are taken as one buffer. */

const MIN_CAPACITY_BYTES = 256;

/** Copies pieces into one buffer, so that many small ones take neither quadratic time nor an object each. */
export class ByteAccumulator {
  private storage = Buffer.alloc(0);
  private bytes = 0;

  private constructor() {}

  /**
   * Creates an empty accumulator.
   *
   * @example
   * const bytes = ByteAccumulator.create();
   * bytes.add(chunk);
   * const whole = bytes.take();
   */
  static create(): ByteAccumulator {
    return new ByteAccumulator();
  }

  /** Number of bytes that were added and not taken. */
  get length(): number {
    return this.bytes;
  }

  /** The byte that was added last; undefined when there is none. */
  get lastByte(): number | undefined {
    return this.bytes > 0 ? this.storage[this.bytes - 1] : undefined;
  }

  /** Adds a copy of the bytes. */
  add(bytes: Uint8Array): undefined {
    const needed = this.bytes + bytes.length;
    if (needed > this.storage.length) {
      const capacity = Math.max(MIN_CAPACITY_BYTES, needed, this.bytes * 2);
      const storage = Buffer.allocUnsafeSlow(capacity);
      storage.set(this.storage.subarray(0, this.bytes));
      this.storage = storage;
    }
    this.storage.set(bytes, this.bytes);
    this.bytes = needed;
  }

  /** Returns all bytes and forgets them. */
  take(): Buffer {
    const bytes = this.storage.subarray(0, this.bytes);
    this.storage = Buffer.alloc(0);
    this.bytes = 0;
    return bytes;
  }
}
