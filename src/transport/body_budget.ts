/** What a process holds of request bodies, under one limit. */
import {ByteBudget} from '../common/byte_budget';
import {computeMemoryBytes} from '../common/compute_memory_bytes';

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
   * @param limitBytes the memory limit of the process; the kernel's without
   * @example
   * const budget = BodyBudget.create(BodyBudget.computeBytes(350 * 1024 * 1024));
   */
  static computeBytes(
    this: void,
    limitBytes?: number,
    machineBytes?: number,
  ): number {
    const part = {fraction: LIMIT_FRACTION, defaultBytes: DEFAULT_BYTES};
    const bytes = computeMemoryBytes({...part, limitBytes, machineBytes});
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
