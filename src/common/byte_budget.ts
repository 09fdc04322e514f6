/** Bytes that several holders keep in memory together, under one limit. */

/** What one holder has of the budget. */
interface ByteShare {
  /** Takes bytes; false if there is no room for them. */
  readonly reserve: (bytes: number) => boolean;
  /** Gives back some of the bytes, or all that were taken. */
  readonly release: (bytes?: number) => void;
}

interface ByteHolder {
  /** Called after the bytes of the holder were given to others. */
  readonly onEvicted: () => void;
}

interface HeldBytes<Holder> {
  readonly holder: Holder;
  bytes: number;
}

interface ByteBudgetOptions<Holder> {
  readonly maxBytes: number;
  /**
   * Selects whose bytes are given to the one that wants more; undefined if that one
   * is denied.
   *
   * @param held who has bytes, the longest holder first; may include the one that wants more
   */
  readonly selectVictim: (
    held: Iterable<HeldBytes<Holder>>,
    wanting: HeldBytes<Holder>,
    bytes: number,
  ) => HeldBytes<Holder> | undefined;
}

/** Grants bytes up to the limit; beyond it, a policy says who gives way. */
export class ByteBudget<Holder extends ByteHolder> {
  private readonly held = new Set<HeldBytes<Holder>>();
  private bytes = 0;

  private constructor(private readonly options: ByteBudgetOptions<Holder>) {}

  /**
   * Creates a budget of which nothing is taken.
   *
   * @example
   * const budget = ByteBudget.create({maxBytes: 1024, selectVictim: () => undefined});
   * const hasRoom = budget.createShare({onEvicted}).reserve(100);
   */
  static create<Holder extends ByteHolder>(
    options: ByteBudgetOptions<Holder>,
  ): ByteBudget<Holder> {
    return new ByteBudget(options);
  }

  /** Bytes that all holders together have. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Creates the share of one holder, which has nothing. */
  createShare(holder: Holder): ByteShare {
    const share = {holder, bytes: 0};
    return {
      reserve: bytes => this.reserve(share, bytes),
      release: bytes => this.release(share, bytes),
    };
  }

  private reserve(share: HeldBytes<Holder>, bytes: number): boolean {
    const {maxBytes, selectVictim} = this.options;
    while (this.bytes + bytes > maxBytes) {
      const victim = selectVictim(this.held, share, bytes);
      if (!victim) {
        return false;
      }
      this.release(victim);
      // What ends the victim's work must not run within the callback of another holder.
      queueMicrotask(victim.holder.onEvicted);
    }
    this.bytes += bytes;
    share.bytes += bytes;
    this.held.add(share);
    return true;
  }

  private release(share: HeldBytes<Holder>, bytes = share.bytes): void {
    const released = Math.min(bytes, share.bytes);
    this.bytes -= released;
    share.bytes -= released;
    if (share.bytes === 0) {
      this.held.delete(share);
    }
  }
}
