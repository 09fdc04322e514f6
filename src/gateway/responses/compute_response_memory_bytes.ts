import {computeMemoryBytes} from '../../common/compute_memory_bytes';

/** Of the memory limit of the process; the rest is for its heap, for request bodies and for what callers have not read yet. */
const LIMIT_FRACTION = 1 / 4;
/** Without a limit: 32 requests with the longest response that can be held, or a thousand with 256 KiB. */
const DEFAULT_BYTES = 256 * 1024 * 1024;

/**
 * Computes how much the requests of a gateway together may hold of responses.
 *
 * @param limitBytes the memory limit of the process; the kernel's without
 * @example
 * const memory = ResponseMemory.create(computeResponseMemoryBytes());
 */
export function computeResponseMemoryBytes(
  limitBytes?: number,
  machineBytes?: number,
): number {
  const part = {fraction: LIMIT_FRACTION, defaultBytes: DEFAULT_BYTES};
  return computeMemoryBytes({...part, limitBytes, machineBytes});
}
