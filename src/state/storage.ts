import {StorageFile} from './storage_file';

/** File system operations on a data folder; simulations implement them in memory. */
export interface Storage {
  /** Reads a file; undefined if it doesn't exist. */
  read(file: string): Promise<Buffer | undefined>;
  /** Opens a file for appending (`add`), or truncates it (`replace`). */
  open(file: string, how: 'add' | 'replace'): Promise<StorageFile>;
  /** Renames a file and replaces an existing one of that name. */
  rename(from: string, to: string): Promise<void>;
  createFolder(folder: string): Promise<void>;
  /** Waits until new and renamed entries of a folder are on disk. */
  syncFolder(folder: string): Promise<void>;
}
