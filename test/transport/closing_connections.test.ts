// Guards against requests and connections that a server gets after nobody needs them any more.
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

type OnBytes = (socket: net.Socket, text: string) => void;

/** Starts a server that hands on the bytes that it receives, and a client for it. */
async function start(onBytes: OnBytes) {
  const opened: net.Socket[] = [];
  const server = net.createServer(socket => {
    opened.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', chunk => onBytes(socket, chunk.toString('latin1')));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const client = HttpClientPool.create();
  closers.push(
    () => server.close(),
    () => opened.forEach(socket => socket.destroy()),
    () => client.close(),
  );
  const {port} = server.address() as net.AddressInfo;
  const send = (id: string, maxConnections: number, body?: Buffer) => {
    let end: string | undefined;
    const handle = client.call(
      {
        id,
        address: ServerAddress.parse(`127.0.0.1:${port}`),
        method: 'POST',
        path: `/${id}`,
        headers: [],
        body: body ?? null,
        maxConnections,
      },
      {
        onSent: () => true,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => (end = 'whole'),
        onError: ({name}) => (end = name),
      },
    );
    return {
      abort: handle.abort,
      get end() {
        return end;
      },
    };
  };
  return {opened, client, send, server};
}

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';

// A connection that fails at once leaves the list while the list is read, so every second one is left out.
test('close leaves no request that is sent afterwards', async () => {
  let received = '';
  const {client, send} = await start((_socket, text) => (received += text));
  for (let count = 0; count < 6; count += 1) {
    send(`q${count}`, 8);
  }
  await client.close();
  await new Promise(resolve => setTimeout(resolve, 100));
  expect(received).toBe('');
});

// Each one opened or closed a connection once its turn came, before the next live request.
test('requests that are aborted while they wait cost no connection', async () => {
  const {opened, send} = await start((socket, text) => {
    if (!text.includes('/first')) {
      socket.write(OK);
    }
  });
  const first = send('first', 1);
  await waitUntil('connection', () => opened.length === 1);
  for (let count = 0; count < 20; count += 1) {
    send(`q${count}`, 1).abort();
  }
  const live = send('live', 1);
  opened[0].write(OK);
  await waitUntil('answers', () => live.end !== undefined);
  expect([first.end, live.end]).toEqual(['whole', 'whole']);
  expect(opened.length).toBeLessThanOrEqual(2);
});

// The next request was queued behind bytes that the server does not read.
test('a response before the whole request was sent ends its connection', async () => {
  const {opened, send} = await start((socket, text) => {
    socket.write(OK);
    if (text.includes('/long')) {
      socket.pause();
    }
  });
  const long = send('long', 1, Buffer.alloc(20_000_000));
  await waitUntil('answer', () => long.end !== undefined);
  const next = send('next', 1);
  await waitUntil('answer', () => next.end !== undefined, 1_000).catch(
    () => undefined,
  );
  expect({next: next.end, connections: opened.length}).toEqual({
    next: 'whole',
    connections: 2,
  });
});

// A closed connection was taken because it came first, and connecting again failed.
test('an open connection is preferred to one that has to be opened again', async () => {
  const {opened, send, server} = await start(socket =>
    setTimeout(() => socket.write(OK), 10),
  );
  const early = [send('a', 2), send('b', 2)];
  await waitUntil('answers', () => early.every(({end}) => end === 'whole'));
  opened[0].destroy();
  server.close();
  await new Promise(resolve => setTimeout(resolve, 50));
  const next = send('c', 2);
  await waitUntil('answer', () => next.end !== undefined);
  expect(next.end).toBe('whole');
});
