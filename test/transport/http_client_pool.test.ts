import * as http from 'node:http';
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

/** Starts a server that holds all requests, and a client for it. */
async function start() {
  const held: http.ServerResponse[] = [];
  const sockets: unknown[] = [];
  const server = http.createServer(({socket}, response) => {
    held.push(response);
    sockets.push(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const client = HttpClientPool.create();
  closers.push(
    () => server.close(),
    () => server.closeAllConnections(),
    () => client.close(),
  );
  const {port} = server.address() as net.AddressInfo;
  let sent = 0;
  const send = (maxConnections: number, id = `q${(sent += 1)}`) =>
    new Promise<void>((resolve, reject) => {
      client.call(
        {
          id,
          address: ServerAddress.parse(`127.0.0.1:${port}`),
          method: 'GET',
          path: '/',
          headers: [],
          body: null,
          maxConnections,
        },
        {
          onSent: () => true,
          onHead: () => undefined,
          onData: () => undefined,
          onEnd: resolve,
          onError: reject,
        },
      );
    });
  return {held, sockets, send};
}

// The limit of the first request was kept for as long as the server was known.
test('a limit of connections that becomes lower holds for requests from then on', async () => {
  const {held, send} = await start();
  const early = [send(4), send(4)];
  await waitUntil('requests arrive', () => held.length === 2);
  const late = [send(1), send(1), send(1)];
  await waitUntil('requests arrive', () => held.length === 3);
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(held).toHaveLength(3);

  for (let count = 0; count < 5; count += 1) {
    await waitUntil('requests arrive', () => held.length > count);
    held[count].end();
  }
  await Promise.all([...early, ...late]);
});

test('a limit of connections that becomes higher lets more requests run', async () => {
  const {held, send} = await start();
  const early = send(1);
  await waitUntil('requests arrive', () => held.length === 1);
  const late = [send(3), send(3)];
  await waitUntil('requests arrive', () => held.length === 3);
  held.forEach(response => response.end());
  await Promise.all([early, ...late]);
});

// A surplus response to an earlier request with the same id could not be told from the response to a later one.
test('requests with the same id never share a connection, even if no other is allowed', async () => {
  const {held, sockets, send} = await start();
  for (const id of ['a', 'b', 'a', 'b', 'c']) {
    const sent = send(1, id);
    const count = held.length;
    await waitUntil('request arrives', () => held.length > count);
    held[count].end();
    await sent;
  }
  const connections = [...new Set(sockets)];
  expect(sockets.map(socket => connections.indexOf(socket))).toEqual([
    0, 0, 1, 1, 1,
  ]);
});

test('requests with the same id at the same time use different connections', async () => {
  const {held, sockets, send} = await start();
  const sent = [send(2, 'a'), send(2, 'a')];
  await waitUntil('requests arrive', () => held.length === 2);
  held.forEach(response => response.end());
  await Promise.all(sent);
  expect(new Set(sockets).size).toBe(2);
});

// A late surplus response hit the next request when the connection that was used last was used again at once.
test('the connection that has been idle longest carries the next request', async () => {
  const {held, sockets, send} = await start();
  const early = [send(2), send(2)];
  await waitUntil('requests arrive', () => held.length === 2);
  held[0].end();
  await early[0];
  held[1].end();
  await early[1];
  for (const count of [2, 3, 4]) {
    const sent = send(2);
    await waitUntil('request arrives', () => held.length > count);
    held[count].end();
    await sent;
  }
  const [first, second] = sockets;
  expect(sockets.slice(2)).toEqual([first, second, first]);
});

// A retry was started within the call, and the attempt that had failed took its place.
test('a request that cannot be written fails only after the call has returned', async () => {
  const client = HttpClientPool.create();
  closers.push(() => client.close());
  let hasReturned = false;
  const failed = new Promise<boolean>(resolve => {
    client.call(
      {
        id: 'q',
        address: ServerAddress.parse('127.0.0.1:1'),
        method: 'GET',
        path: '/',
        headers: ['name', 'control \u0001'],
        body: null,
        maxConnections: 1,
      },
      {
        onSent: () => true,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => undefined,
        onError: () => resolve(hasReturned),
      },
    );
    hasReturned = true;
  });
  expect(await failed).toBe(true);
});

// The server may have been killed and started again during the pause.
test.each([
  [true, 'Broken'],
  [false, 'whole'],
])(
  'a response that ended with its connection around a pause of this process (%s) is %s',
  async (hasPaused, expected) => {
    const server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\npart'));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const client = HttpClientPool.create(() => hasPaused);
    closers.push(
      () => server.close(),
      () => client.close(),
    );
    const {port} = server.address() as net.AddressInfo;
    const end = await new Promise<string>(resolve => {
      client.call(
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
          onData: () => undefined,
          onEnd: () => resolve('whole'),
          onError: ({name}) => resolve(name),
        },
      );
    });
    expect(end).toBe(expected);
  },
);
