import {open, rename} from 'node:fs/promises';
import * as path from 'node:path';
import {syncFolder} from './sync_folder';

/**
 * Writes a file so that after a crash either the old or the new content stands.
 *
 * @example
 * await replaceFile('data/identity.json', bytes);
 */
export async function replaceFile(
  file: string,
  bytes: Uint8Array,
): Promise<void> {
  const temporary = `${file}.new`;
  const handle = await open(temporary, 'w', 0o600);
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, file);
  await syncFolder(path.dirname(file));
}
