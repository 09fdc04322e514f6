import * as path from 'node:path';
import {Storage} from './storage';
import {writeAll} from './write_all';

/**
 * Writes a file so that after a crash either the old or the new content stands.
 *
 * @example
 * await replaceFile(nodeStorage, 'data/identity.json', bytes);
 */
export async function replaceFile(
  storage: Storage,
  file: string,
  bytes: Uint8Array,
): Promise<void> {
  const temporary = `${file}.new`;
  const handle = await storage.open(temporary, 'replace');
  try {
    await writeAll(handle, Buffer.from(bytes));
    await handle.sync();
  } finally {
    await handle.close();
  }
  await storage.rename(temporary, file);
  await storage.syncFolder(path.dirname(file));
}
