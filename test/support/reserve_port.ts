import * as net from 'node:net';

/** Below the range from which the kernel takes ports for others. */
const FIRST_PORT = 20_000;
const LAST_PORT = 29_999;

/**
 * Finds a port that is free now; control processes must know each other's
 * beforehand. A port that the kernel could give to somebody else in the
 * meantime made fleets fail to start now and then.
 */
export async function reservePort(): Promise<number> {
  for (;;) {
    const span = LAST_PORT - FIRST_PORT + 1;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (await isFree(port)) {
      return port;
    }
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
