import * as net from 'node:net';

/**
 * Makes one connection and ends it. Only a machine that runs refuses one at once,
 * and it does so when no process listens there any more.
 *
 * @param timeoutMs milliseconds after which the address counts as silent
 * @example
 * const state = await probeListening({host: '127.0.0.1', port: 8080}, 300);
 */
export function probePort(
  {host, port}: {readonly host: string; readonly port: number},
  timeoutMs: number,
): Promise<'listens' | 'refuses' | 'silent'> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const settle = (state: 'listens' | 'refuses' | 'silent') => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setTimeout(() => settle('silent'), timeoutMs);
    socket.on('connect', () => settle('listens'));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? 'refuses' : 'silent'),
    );
  });
}
