import * as os from 'node:os';

/** Of the memory limit of the process; the rest is for its heap, for request bodies and for what callers have not read yet. */
const LIMIT_FRACTION = 1 / 4;
/** Without a limit: 32 requests with the longest response that can be held, or a thousand with 256 KiB. */
const DEFAULT_BYTES = 256 * 1024 * 1024;

/**
 * Computes how much the requests of a gateway together may hold of responses.
 *
 * @param limitBytes the memory limit of the process; one beyond the memory of the machine is none
 * @example
 * const memory = ResponseMemory.create(computeResponseMemoryBytes());
 */
export function computeResponseMemoryBytes(
  limitBytes: number = process.constrainedMemory(),
  machineBytes: number = os.totalmem(),
): number {
  const isLimited = limitBytes > 0 && limitBytes < machineBytes;
  return isLimited ? Math.floor(limitBytes * LIMIT_FRACTION) : DEFAULT_BYTES;
}
