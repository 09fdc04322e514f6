import {readFile} from 'node:fs/promises';

/**
 * Reads a file, or answers undefined when there is none.
 *
 * @example
 * const bytes = await readIfPresent('data/identity.json');
 */
export async function readIfPresent(file: string): Promise<Buffer | undefined> {
  try {
    return await readFile(file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
      return undefined;
    }
    throw error;
  }
}
