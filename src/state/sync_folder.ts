import {open} from 'node:fs/promises';

/**
 * Makes renames and new names in a folder last.
 *
 * @example
 * await syncFolder('/var/lib/whinreel');
 */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
