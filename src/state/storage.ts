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

/** What a data folder is kept in: a disk, or one that a simulation makes up. */
export interface Storage {
  /** The content of a file; undefined when there is none. */
  read(file: string): Promise<Buffer | undefined>;
  /** Opens a file to add to it, or to write it anew. */
  open(file: string, how: 'add' | 'replace'): Promise<StorageFile>;
  /** Gives a file another name, in place of what had that name. */
  rename(from: string, to: string): Promise<void>;
  makeFolder(folder: string): Promise<void>;
  /** Makes renames and new names in a folder last. */
  syncFolder(folder: string): Promise<void>;
}
