import {StorageFile} from './storage_file';

/** What a data folder is kept in: a disk, or one that a simulation makes up. */
export interface Storage {
  /** The content of a file; undefined when there is none. */
  read(file: string): Promise<Buffer | undefined>;
  /** Opens a file to add to it, or to write it anew. */
  open(file: string, how: 'add' | 'replace'): Promise<StorageFile>;
  /** Gives a file another name, in place of what had that name. */
  rename(from: string, to: string): Promise<void>;
  createFolder(folder: string): Promise<void>;
  /** Makes renames and new names in a folder last. */
  syncFolder(folder: string): Promise<void>;
}
