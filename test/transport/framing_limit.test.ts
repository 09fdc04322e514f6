// Guards against responses without end in places that the parser does not limit, and against a limit that cuts off proper ones.
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {EndlessResponse} from '../support/endless_response';
import {FakeBackend} from '../support/fake_backend';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a server with a handler, and a client with one connection to it. */
async function start(handle: Parameters<typeof FakeBackend.create>[0]) {
  const server = await FakeBackend.create(handle);
  const client = HttpClientPool.create();
  closers.push(
    () => server.close(),
    () => client.close(),
  );
  let sent = 0;
  const send = () => {
    const seen = {statuses: [] as number[], bytes: 0};
    const ended = new Promise<string>(resolve => {
      const handle = client.call(
        {
          id: `q${(sent += 1)}`,
          address: ServerAddress.parse(server.address),
          method: 'GET',
          path: '/',
          headers: [],
          body: null,
          maxConnections: 1,
        },
        {
          onSent: () => true,
          onHead: status => seen.statuses.push(status),
          onData: chunk => {
            seen.bytes += chunk.length;
            pieces.forEach(callback => callback(handle));
          },
          onEnd: () => resolve('whole'),
          onError: ({name}) => resolve(name),
        },
      );
    });
    return {seen, ended};
  };
  /** Called at each piece of a body. */
  const pieces: Array<(handle: ReturnType<typeof client.call>) => void> = [];
  return {server, send, pieces};
}

function writeText(socket: net.Socket, ...parts: string[]): void {
  parts.forEach(part => socket.write(part.replaceAll('\n', '\r\n')));
}

test('a body of many small chunks is complete, though its framing outweighs it', async () => {
  const count = 60_000;
  const {send} = await start(({socket}) =>
    writeText(
      socket,
      'HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n',
      '1\nx\n'.repeat(count),
      '0\n\n',
    ),
  );
  const {seen, ended} = send();
  expect(await ended).toBe('whole');
  expect(seen.bytes).toBe(count);
});

test('what waits in the socket of a paused response is not taken for framing', async () => {
  const length = 4_000_000;
  const sockets: net.Socket[] = [];
  const {send, pieces} = await start(({socket}) => {
    sockets.push(socket);
    const head = `HTTP/1.1 200 OK\ncontent-length: ${length}\n\n`;
    writeText(socket, head, 'x'.repeat(length));
  });
  pieces.push(handle => {
    handle.pause();
    setImmediate(() => handle.resume());
  });
  const {seen, ended} = send();
  expect(await ended).toBe('whole');
  expect(seen.bytes).toBe(length);
  expect(sockets).toHaveLength(1);
});

test('each request of a connection has a limit of its own', async () => {
  const long = 'x'.repeat(10_000);
  const {server, send} = await start(({socket}) =>
    writeText(socket, `HTTP/1.1 200 OK\ncontent-length: 0\nlong: ${long}\n\n`),
  );
  for (let at = 0; at < 20; at += 1) {
    expect(await send().ended).toBe('whole');
  }
  const sockets = new Set(server.requests.map(({socket}) => socket));
  expect(sockets.size).toBe(1);
});

test('a connection that gets bytes without end after a complete answer is closed', async () => {
  const endless = EndlessResponse.create({
    start: 'HTTP/1.1 200 OK\ncontent-length: 0\n\n',
    piece: '\r\n',
  });
  const {send} = await start(endless.handle);
  expect(await send().ended).toBe('whole');
  await waitUntil('the connection closes', () => endless.isClosed, 5_000);
});

test('an endless head ends its request as oversized, at its server too', async () => {
  const endless = EndlessResponse.create({start: 'HTTP/1.1 200 ', piece: 'x'});
  const {send} = await start(endless.handle);
  const {seen, ended} = send();
  expect(await ended).toBe('Oversized');
  expect(seen.statuses).toEqual([]);
  await waitUntil('the connection closes', () => endless.isClosed);
});
