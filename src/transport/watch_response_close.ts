import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** Callbacks of the open responses of each connection; one listener a connection serves all. */
const callbacks = new WeakMap<Socket, Set<() => void>>();

/**
 * Calls back once when a response is sent or its connection has closed. Node emits
 * `close` only at the response whose turn it is, not at those that wait behind it on
 * the same connection.
 *
 * @example
 * watchResponseClose(response, () => share.release());
 */
export function watchResponseClose(
  response: ServerResponse,
  callback: () => void,
): void {
  const open = findCallbacks(response.req.socket);
  const finish = () => {
    if (open.delete(finish)) {
      callback();
    }
  };
  open.add(finish);
  response.once('close', finish);
}

function findCallbacks(socket: Socket): Set<() => void> {
  const known = callbacks.get(socket);
  if (known) {
    return known;
  }
  const open = new Set<() => void>();
  callbacks.set(socket, open);
  socket.once('close', () => [...open].forEach(finish => finish()));
  return open;
}
