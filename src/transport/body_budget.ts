/** What a process holds of request bodies, under one limit. */
import {ByteBudget} from '../common/byte_budget';
import {computeMemoryBytes} from '../common/compute_memory_bytes';

/** Of the memory for buffers; responses take a half, and some is on its way. */
const BUFFER_FRACTION = 1 / 3;
/** Of the memory limit of the process, beside what responses and the heap may take. */
const LIMIT_FRACTION = 1 / 8;
/** Without a limit of the process. */
const DEFAULT_BYTES = 256 * 1024 * 1024;
/** The longest body that any program accepts, three times. */
const MIN_BYTES = 24 * 1024 * 1024;

interface BodyHolder {
  /** True once the body is received. */
  readonly isWhole: () => boolean;
  /** Called after the bytes of an unfinished body were given to others. */
  readonly onEvicted: () => void;
}

type Budget = ByteBudget<BodyHolder>;
type BodyShare = ReturnType<Budget['createShare']>;
type SelectVictim = Parameters<
  typeof ByteBudget.create<BodyHolder>
>[0]['selectVictim'];

/**
 * Bounds the memory for request bodies, from their first byte until their requests
 * end. When it is spent, the unfinished body that has been arriving for the longest
 * gives way, be it the one that wants more or another: those of proper callers
 * arrive at once. A whole body never gives way.
 */
export class BodyBudget {
  private constructor(private readonly budget: Budget) {}

  /**
   * Creates the budget of a process.
   *
   * @param maxBytes a part of the process's memory without
   * @example
   * const budget = BodyBudget.create();
   * const body = await readHttpBody(request, response, {maxBytes: 1024, budget});
   */
  static create(maxBytes = BodyBudget.computeBytes()): BodyBudget {
    return new BodyBudget(
      ByteBudget.create({maxBytes, selectVictim: selectSlowest}),
    );
  }

  /**
   * Computes how much a process may hold of request bodies.
   *
   * @param bufferBytes the memory for all buffers of the process, if it is known
   * @param limitBytes the memory limit of the process; one beyond the memory of the machine is none
   * @example
   * const budget = BodyBudget.create(BodyBudget.computeBytes(96 * 1024 * 1024));
   */
  static computeBytes(
    this: void,
    bufferBytes?: number,
    limitBytes?: number,
    machineBytes?: number,
  ): number {
    const bytes = computeMemoryBytes({
      bufferFraction: BUFFER_FRACTION,
      bufferBytes,
      limitFraction: LIMIT_FRACTION,
      defaultBytes: DEFAULT_BYTES,
      limitBytes,
      machineBytes,
    });
    return Math.max(MIN_BYTES, bytes);
  }

  /** Bytes that all bodies together hold. */
  get usedBytes(): number {
    return this.budget.usedBytes;
  }

  /** Creates the share of one body, which holds nothing. */
  createShare(holder: BodyHolder): BodyShare {
    return this.budget.createShare(holder);
  }
}

/** One that holds nothing yet is the newest. */
const selectSlowest: SelectVictim = (held, wanting) => {
  for (const share of held) {
    if (!share.holder.isWhole()) {
      return share === wanting ? undefined : share;
    }
  }
  return undefined;
};
