/** A file that is written at its end. */
export interface StorageFile {
  /** Writes at the end; may take fewer bytes than it is given. */
  write(
    bytes: Buffer,
    offset: number,
    length: number,
  ): Promise<{bytesWritten: number}>;
  /** Waits until the content is on disk. */
  datasync(): Promise<void>;
  /** Waits until content and size are on disk. */
  sync(): Promise<void>;
  truncate(size: number): Promise<void>;
  close(): Promise<void>;
}
