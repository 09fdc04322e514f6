import * as os from 'node:os';

/** A part of the memory of a process. */
interface MemoryPart {
  readonly fraction: number;
  /** For a process without a limit, on a machine with enough memory. */
  readonly defaultBytes: number;
  /** The memory limit of the process, if it is known; else that of its control group. */
  readonly limitBytes?: number;
  /** A limit beyond the memory of the machine is none. */
  readonly machineBytes?: number;
}

/**
 * Computes the bytes of a part of the memory.
 *
 * @example
 * const bytes = computeMemoryBytes({fraction: 1 / 8, defaultBytes: 256 * 1024 * 1024});
 */
export function computeMemoryBytes(part: MemoryPart): number {
  const {fraction, defaultBytes} = part;
  const isKnown = part.limitBytes !== undefined;
  const {
    limitBytes = process.constrainedMemory(),
    machineBytes = isKnown ? Infinity : os.totalmem(),
  } = part;
  const isLimited = limitBytes > 0 && limitBytes < machineBytes;
  return isLimited
    ? Math.floor(limitBytes * fraction)
    : Math.min(defaultBytes, Math.floor(machineBytes * fraction));
}
