/** The part of a file handle that is needed for writing. */
interface WritableFile {
  readonly write: (
    bytes: Buffer,
    offset: number,
    length: number,
  ) => Promise<{bytesWritten: number}>;
}

/**
 * Appends all bytes to a file, in a single write unless the system writes fewer.
 * Node's `appendFile` splits data into writes of 512 KiB, and after a power loss each
 * of these may be missing on its own, which leaves a gap before a later one.
 *
 * @example
 * await writeAll(file, bytes);
 */
export async function writeAll(
  file: WritableFile,
  bytes: Buffer,
): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const remaining = bytes.length - offset;
    const {bytesWritten} = await file.write(bytes, offset, remaining);
    offset += bytesWritten;
  }
}
