/** What the requests of a gateway together hold of responses, under one limit. */
import {ByteBudget} from '../../common/byte_budget';

interface MemoryShareOptions {
  /** False while ending the attempt would free nothing, as its response is complete. */
  readonly canEvict: () => boolean;
  /** Called after the bytes of the share were given to others. */
  readonly onEvicted: () => void;
  /** True when it was sent a while ago, and its caller has not read it. */
  readonly isUnread?: () => boolean;
}

type Budget = ByteBudget<MemoryShareOptions>;
type MemoryShare = ReturnType<Budget['createShare']>;
type SelectVictim = Parameters<
  typeof ByteBudget.create<MemoryShareOptions>
>[0]['selectVictim'];

/**
 * Bounds the memory for responses until they are sent. When it is spent, the incomplete one that
 * holds the most gives way, be it the one that wants more or another: answers
 * without end are those that grow largest, and proper ones are mostly short. If
 * the one that wants more gave way, responses without end would end proper ones.
 * Before any of them, complete ones give way that their callers leave unread.
 */
export class ResponseMemory {
  private constructor(private readonly budget: Budget) {}

  /**
   * Creates the memory of a gateway.
   *
   * @example
   * const memory = ResponseMemory.create(computeResponseMemoryBytes());
   * const share = memory.createShare({canEvict, onEvicted});
   * const hasRoom = share.reserve(1024);
   */
  static create(maxBytes: number): ResponseMemory {
    return new ResponseMemory(ByteBudget.create({maxBytes, selectVictim}));
  }

  /** Bytes that all requests together hold. */
  get usedBytes(): number {
    return this.budget.usedBytes;
  }

  /** Creates the share of one request, which holds nothing. */
  createShare(options: MemoryShareOptions): MemoryShare {
    return this.budget.createShare(options);
  }
}

/** Looks through all shares, but only when the memory is spent, and each time one of them ends. */
const selectVictim: SelectVictim = (held, wanting, bytes) => {
  const others = [...held].filter(share => share !== wanting);
  const unread = others.find(({holder}) => holder.isUnread?.());
  if (unread) {
    return unread;
  }
  const [first, ...rest] = others.filter(({holder}) => holder.canEvict());
  const largest = rest.reduce(
    (best, share) => (best.bytes >= share.bytes ? best : share),
    first,
  );
  return largest && largest.bytes > wanting.bytes + bytes ? largest : undefined;
};
