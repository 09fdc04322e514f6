import {findDescriptorLimit} from './find_descriptor_limit';

/** Bounds the memory of connections where there are descriptors for more. */
const MAX_CONNECTIONS = 10_000;
/** Files, log files and modules that are read late. */
const FILE_DESCRIPTORS = 200;
/** Connections to control and backend servers, and those that load balancers, operators and metrics open. */
const OTHER_CONNECTIONS = 400;
/** Of a limit that is too small for the reserve. */
const MIN_SHARE = 1 / 2;

/**
 * Computes how many connections of callers a process holds, so that they never take the
 * descriptors of its files and of its other connections.
 *
 * @param descriptors how many descriptors the process may have open; its limit by default
 * @example
 * computeConnectionLimit(4_100); // 3500
 */
export function computeConnectionLimit(
  descriptors: number = findDescriptorLimit(),
): number {
  const left = descriptors - FILE_DESCRIPTORS - OTHER_CONNECTIONS;
  const least = Math.floor(descriptors * MIN_SHARE);
  return Math.min(MAX_CONNECTIONS, Math.max(left, least));
}
