import * as os from 'node:os';

/** A part of the memory of a process. */
interface MemoryPart {
  /** Of the memory for buffers, if that is known. */
  readonly bufferFraction: number;
  readonly bufferBytes?: number;
  /** Of the memory limit of the process otherwise, since its heap may take much of it. */
  readonly limitFraction: number;
  /** For a process without a limit, on a machine with enough memory. */
  readonly defaultBytes: number;
  /** A limit beyond the memory of the machine is none. */
  readonly limitBytes?: number;
  readonly machineBytes?: number;
}

/**
 * Computes the bytes of a part of the memory.
 *
 * @example
 * const part = {bufferFraction: 1 / 3, limitFraction: 1 / 8, defaultBytes: 256 * 1024 * 1024};
 * const bytes = computeMemoryBytes(part);
 */
export function computeMemoryBytes(part: MemoryPart): number {
  const {bufferBytes, bufferFraction, limitFraction, defaultBytes} = part;
  if (bufferBytes !== undefined) {
    return Math.floor(bufferBytes * bufferFraction);
  }
  const {
    limitBytes = process.constrainedMemory(),
    machineBytes = os.totalmem(),
  } = part;
  const isLimited = limitBytes > 0 && limitBytes < machineBytes;
  return isLimited
    ? Math.floor(limitBytes * limitFraction)
    : Math.min(defaultBytes, Math.floor(machineBytes * limitFraction));
}
