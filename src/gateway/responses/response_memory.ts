/** What the requests of a gateway together hold of responses, under one limit. */

/** The part of one request. */
interface MemoryShare {
  /** Takes bytes; false if there is no room for them. */
  readonly reserve: (bytes: number) => boolean;
  /** Gives back all that was taken. */
  readonly release: () => void;
}

interface MemoryShareOptions {
  /** False while ending the attempt would free nothing, as its response is complete. */
  readonly canEvict: () => boolean;
  /** Called after the bytes of the share were given to others. */
  readonly onEvicted: () => void;
}

interface ShareState extends MemoryShareOptions {
  bytes: number;
}

/**
 * Bounds the memory for incomplete responses. When it is spent, the request that
 * holds the most gives way, be it the one that wants more or another: answers
 * without end are those that grow largest, and proper ones are mostly short. If
 * the one that wants more gave way, responses without end would end proper ones.
 */
export class ResponseMemory {
  /** Shares that hold something. */
  private readonly shares = new Set<ShareState>();
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates the memory of a gateway.
   *
   * @example
   * const memory = ResponseMemory.create(computeResponseMemoryBytes());
   * const share = memory.createShare({canEvict, onEvicted});
   * const hasRoom = share.reserve(1024);
   */
  static create(maxBytes: number): ResponseMemory {
    return new ResponseMemory(maxBytes);
  }

  /** Bytes that all requests together hold. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Creates the share of one request, which holds nothing. */
  createShare(options: MemoryShareOptions): MemoryShare {
    const share = {...options, bytes: 0};
    return {
      reserve: bytes => this.reserve(share, bytes),
      release: () => this.release(share),
    };
  }

  private reserve(share: ShareState, bytes: number): boolean {
    while (this.bytes + bytes > this.maxBytes) {
      const largest = this.findLargest(share);
      if (!largest || largest.bytes <= share.bytes + bytes) {
        return false;
      }
      this.release(largest);
      // Ending an attempt sends requests, which must not happen within the callback of another response.
      queueMicrotask(largest.onEvicted);
    }
    this.bytes += bytes;
    share.bytes += bytes;
    this.shares.add(share);
    return true;
  }

  private release(share: ShareState): void {
    this.bytes -= share.bytes;
    share.bytes = 0;
    this.shares.delete(share);
  }

  /** Looks through all shares, but only when the memory is spent, and each time one of them ends. */
  private findLargest(except: ShareState): ShareState | undefined {
    return [...this.shares]
      .filter(share => share !== except && share.canEvict())
      .reduce<ShareState | undefined>(
        (best, share) => (best && best.bytes >= share.bytes ? best : share),
        undefined,
      );
  }
}
