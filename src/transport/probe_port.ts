import * as net from 'node:net';

/**
 * Checks whether a process listens on a port by opening one connection. A refusal
 * shows that the machine runs and that no process listens there any more.
 *
 * @param timeoutMs milliseconds after which the result is `silent`
 * @example
 * const state = await probePort({host: '127.0.0.1', port: 8080}, 300);
 */
export function probePort(
  {host, port}: {readonly host: string; readonly port: number},
  timeoutMs: number,
): Promise<'listens' | 'refuses' | 'silent'> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const finish = (state: 'listens' | 'refuses' | 'silent') => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setTimeout(() => finish('silent'), timeoutMs);
    socket.on('connect', () => finish('listens'));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refuses' : 'silent'),
    );
  });
}
