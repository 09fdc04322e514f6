/** Guards against a response that looks whole because its server was started again before the end was read. */
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

const PART = Buffer.alloc(1024 * 1024, 'x');
/** As long as a process takes to start. */
const RESTART_MS = 500;

async function listen(port: number, handle: (socket: net.Socket) => void) {
  const sockets: net.Socket[] = [];
  const server = net.createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    closers.push(() => socket.destroy());
    handle(socket);
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  closers.push(() => server.close());
  return {server, sockets};
}

// Reads stop while the caller reads too slowly, and what has arrived before the kill is read after the restart.
test('a server that was killed and started again while its response was not read has not ended it', async () => {
  const {server, sockets} = await listen(0, socket => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      socket.write(PART, () => {
        // As a killed process leaves them to its kernel.
        server.close();
        sockets.forEach(each => each.end());
      });
    });
  });
  const {port} = server.address() as net.AddressInfo;
  const client = HttpClientPool.create();
  closers.push(() => client.close());
  let end: string | undefined;
  let isPaused = false;
  const handle = client.call(
    {
      id: 'q',
      address: ServerAddress.parse(`127.0.0.1:${port}`),
      method: 'GET',
      path: '/',
      headers: [],
      body: null,
      maxConnections: 1,
    },
    {
      onSent: () => true,
      onHead: () => undefined,
      onData: () => {
        if (!isPaused) {
          isPaused = true;
          handle.pause();
        }
      },
      onEnd: () => (end = 'whole'),
      onError: ({name}) => (end = name),
    },
  );
  await waitUntil('paused', () => isPaused);
  await new Promise(resolve => setTimeout(resolve, RESTART_MS));
  await listen(port, () => undefined);
  handle.resume();
  await waitUntil('the end', () => end);
  expect(end).toBe('Broken');
});
