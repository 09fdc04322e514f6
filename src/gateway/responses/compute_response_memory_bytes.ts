import {computeMemoryBytes} from '../../common/compute_memory_bytes';

/** Of the memory for buffers; what arrives of callers takes a third, and some is on its way. */
const BUFFER_FRACTION = 1 / 2;
/** Of the memory limit of the process; the rest is for its heap, for request bodies and for what callers have not read yet. */
const LIMIT_FRACTION = 1 / 4;
/** Without a limit: 32 requests with the longest response that can be held, or a thousand with 256 KiB. */
const DEFAULT_BYTES = 256 * 1024 * 1024;

/**
 * Computes how much the requests of a gateway together may hold of responses.
 *
 * @param limitBytes the memory limit of the process; one beyond the memory of the machine is none
 * @param bufferBytes the memory for all buffers of the process, if it is known
 * @example
 * const memory = ResponseMemory.create(computeResponseMemoryBytes());
 */
export function computeResponseMemoryBytes(
  limitBytes?: number,
  machineBytes?: number,
  bufferBytes?: number,
): number {
  return computeMemoryBytes({
    bufferFraction: BUFFER_FRACTION,
    bufferBytes,
    limitFraction: LIMIT_FRACTION,
    defaultBytes: DEFAULT_BYTES,
    limitBytes,
    machineBytes,
  });
}
