/** What is written to. */
interface WritableFile {
  readonly write: (
    bytes: Buffer,
    offset: number,
    length: number,
  ) => Promise<{bytesWritten: number}>;
}

/**
 * Writes all bytes at the end of a file, with one write where the system takes them
 * so. The library's own appending cuts them up at 512 KiB, and after a loss of power
 * each part may be missing by itself: a gap in front of what is there.
 *
 * @example
 * await writeWhole(file, bytes);
 */
export async function writeAll(
  file: WritableFile,
  bytes: Buffer,
): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const rest = bytes.length - offset;
    const {bytesWritten} = await file.write(bytes, offset, rest);
    offset += bytesWritten;
  }
}
