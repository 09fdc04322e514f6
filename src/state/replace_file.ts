import * as path from 'node:path';
import {Storage} from './storage';
import {writeAll} from './write_all';

/**
 * Replaces a file's content atomically: after a crash it holds either the old or the
 * new content. Writes and syncs a temporary file, then renames it.
 *
 * @example
 * await replaceFile(nodeStorage, 'data/identity', bytes);
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
