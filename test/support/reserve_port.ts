import {mkdirSync, openSync, closeSync, rmSync, statSync} from 'node:fs';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import * as path from 'node:path';

/** The range lies below the ephemeral ports of the kernel. */
const FIRST_PORT = 20_000;
const LAST_PORT = 29_999;
/** Holds a lock file for each reserved port, shared by all test processes on this machine. */
const FOLDER = path.join(tmpdir(), 'whinreel-test-ports');
/** Longer than any test that restarts its processes on the same port. */
const LOCK_EXPIRY_MS = 600_000;

/**
 * Reserves a free port, since control processes must know each other's ports before
 * they start. Fleets sometimes failed to start when the kernel or another test gave the
 * port to another process in the meantime.
 */
export async function reservePort(): Promise<number> {
  mkdirSync(FOLDER, {recursive: true});
  for (;;) {
    const span = LAST_PORT - FIRST_PORT + 1;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (claim(port) && (await isFree(port))) {
      return port;
    }
  }
}

/** Claims a port by creating its lock file exclusively; false when it is claimed already. */
function claim(port: number): boolean {
  const file = path.join(FOLDER, String(port));
  try {
    if (Date.now() - statSync(file).mtimeMs > LOCK_EXPIRY_MS) {
      rmSync(file, {force: true});
    }
  } catch {
    // There is no lock file.
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
