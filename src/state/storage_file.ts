/** An append-only file. */
export interface StorageFile {
  /** Appends bytes; may write fewer than `length`. */
  write(
    bytes: Buffer,
    offset: number,
    length: number,
  ): Promise<{bytesWritten: number}>;
  /** Waits until the content is on disk, as `fdatasync` does. */
  datasync(): Promise<void>;
  /** Waits until content and metadata are on disk, as `fsync` does. */
  sync(): Promise<void>;
  truncate(size: number): Promise<void>;
  close(): Promise<void>;
}
