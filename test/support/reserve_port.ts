import {mkdirSync, openSync, closeSync, rmSync, statSync} from 'node:fs';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import * as path from 'node:path';

/** Below the range from which the kernel takes ports for others. */
const FIRST_PORT = 20_000;
const LAST_PORT = 29_999;
/** One file for each port that is given away, seen by all test processes of this machine. */
const FOLDER = path.join(tmpdir(), 'whinreel-test-ports');
/** Longer than any test that starts its processes anew at the same port. */
const HELD_MS = 600_000;

/**
 * Finds a port that is free now; control processes must know each other's
 * beforehand. A port that the kernel or another test could give to somebody else
 * in the meantime made fleets fail to start now and then.
 */
export async function reservePort(): Promise<number> {
  mkdirSync(FOLDER, {recursive: true});
  for (;;) {
    const span = LAST_PORT - FIRST_PORT + 1;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (take(port) && (await isFree(port))) {
      return port;
    }
  }
}

/** Only one process can make a file that must not be there yet. */
function take(port: number): boolean {
  const file = path.join(FOLDER, String(port));
  try {
    if (Date.now() - statSync(file).mtimeMs > HELD_MS) {
      rmSync(file, {force: true});
    }
  } catch {
    // Nobody holds it.
  }
  try {
    closeSync(openSync(file, 'wx'));
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EEXIST') {
      throw error;
    }
    return false;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
