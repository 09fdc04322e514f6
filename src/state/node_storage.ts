/** Storage on the local file system. */
import {mkdir, open, readFile, rename} from 'node:fs/promises';
import {Storage} from './storage';

const FLAGS = {add: 'a', replace: 'w'} as const;
const OWNER_ONLY = 0o600;

/** Accesses files through `node:fs`. */
export const nodeStorage: Storage = {
  async read(file) {
    try {
      return await readFile(file);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
        return undefined;
      }
      throw error;
    }
  },

  open(file, how) {
    return open(file, FLAGS[how], OWNER_ONLY);
  },

  rename,

  async createFolder(folder) {
    await mkdir(folder, {recursive: true});
  },

  async syncFolder(folder) {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
};
