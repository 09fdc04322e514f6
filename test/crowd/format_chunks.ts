import {CROWD_LIMITS} from './crowd_limits';

/** How far short of the longest body an unfinished one stops. */
const SHORT_OF_END_BYTES = 4 * 1024;

/** Chunks of an unfinished body that is a little shorter than the longest one allowed. */
export function formatChunks(chunkBytes: number): Buffer {
  const size = chunkBytes.toString(16);
  const chunk = `${size}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const wanted = CROWD_LIMITS.maxBodyBytes - SHORT_OF_END_BYTES;
  return Buffer.from(chunk.repeat(Math.floor(wanted / chunkBytes)));
}
