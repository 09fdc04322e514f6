import * as net from 'node:net';
import {ServerAddress} from '../common/server_address';

/** A refusal takes one round trip; a longer silence tells nothing about the process. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * A process that ends closes its sockets one after the other, and the port that it listens
 * on may be the last: the kernel accepts a connection until then, and resets it.
 */
const SETTLE_MS = 50;
/** A server that lives and has too many connections closes new ones as well. */
const MAX_CONNECTIONS = 3;

type ConnectionResult = 'stays' | 'closed' | 'refuses' | 'silent';

const FAILURES: Readonly<Record<string, ConnectionResult | undefined>> = {
  ECONNREFUSED: 'refuses',
  // Also reported for a connection that was accepted and reset before this process saw it.
  ECONNRESET: 'closed',
};

/**
 * Checks whether a process listens on a port and goes on doing so.
 *
 * @returns `refuses` if the machine runs and no process listens there; `silent` if it can
 *     not be reached
 * @example
 * const state = await probeListener(ServerAddress.parse('10.0.0.4:8080'));
 */
export async function probeListener(
  address: ServerAddress,
): Promise<'listens' | 'refuses' | 'silent'> {
  for (let count = 0; count < MAX_CONNECTIONS; count += 1) {
    const result = await probeConnection(address);
    if (result === 'refuses' || result === 'silent') {
      return result;
    }
    if (result === 'stays') {
      return 'listens';
    }
  }
  return 'listens';
}

/** Opens a connection, and closes it after a while if the server has not. */
function probeConnection({
  host,
  port,
}: ServerAddress): Promise<ConnectionResult> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const finish = (result: ConnectionResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    let timer = setTimeout(() => finish('silent'), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(() => finish('stays'), SETTLE_MS);
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      finish(FAILURES[error.code ?? ''] ?? 'silent'),
    );
    socket.resume();
  });
}
