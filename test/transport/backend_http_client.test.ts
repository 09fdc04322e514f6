import * as net from 'node:net';
import {Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {BackendHttpClient} from '../../src/transport/backend_http_client';
import {FakeBackend} from '../support/fake_backend';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

type Handler = Parameters<typeof FakeBackend.create>[0];

/** Starts a backend server, and a client that sends it requests. */
async function start(handle: Handler) {
  const backend = await FakeBackend.create(handle);
  const client = BackendHttpClient.create();
  closers.push(
    () => backend.close(),
    () => client.close(),
  );
  const call = (body: string) =>
    client.call({
      url: `http://${backend.address}`,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from(body),
      signal: AbortSignal.timeout(5_000),
    });
  return {backend, call};
}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

function createResponse(body: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

// A second copy of a response, sent late on a kept connection, was returned to the next request.
test('a late second copy of a response is not taken for the response to the next request', async () => {
  const copies = new Map<Socket, string>();
  const {call} = await start(({body, socket}) => {
    const response = createResponse(`for ${body}`);
    socket.write(copies.get(socket) ?? response);
    copies.set(socket, response);
  });
  const texts: string[] = [];
  for (const body of ['a', 'b', 'c']) {
    const response = await call(body);
    texts.push(await readText(response.body));
  }

  expect(texts).toEqual(['for a', 'for b', 'for c']);
});

// A reset after a response without a content length was taken for its end.
test('a response that ends with a reset is not complete', async () => {
  const {call} = await start(({socket}) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const response = await call('a');

  await expect(readText(response.body)).rejects.toThrow(
    'the backend server broke off',
  );
});

const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const ENDLESS: Record<string, {start: string; part: string}> = {
  'status line': {start: 'HTTP/1.1 200 ', part: 'x'.repeat(1_024)},
  header: {start: 'HTTP/1.1 200 OK\r\nx: ', part: 'x'.repeat(1_024)},
  'list of headers': {start: 'HTTP/1.1 200 OK\r\n', part: 'x: y\r\n'},
  'series of interim responses': {
    start: '',
    part: 'HTTP/1.1 103 Early Hints\r\n\r\n',
  },
  'chunk extension': {start: `${HEAD}1;`, part: 'x'.repeat(1_024)},
  'series of chunks with extensions': {
    start: HEAD,
    part: `1;${'x'.repeat(1_024)}\r\na\r\n`,
  },
  'chunk size': {start: HEAD, part: '0'.repeat(1_024)},
  trailer: {start: `${HEAD}1\r\na\r\n0\r\nx: `, part: 'x'.repeat(1_024)},
  'list of trailers': {start: `${HEAD}1\r\na\r\n0\r\n`, part: 'x: y\r\n'},
};

/** Writes until the connection is closed; returns how many bytes were written. */
function writeWithoutEnd(
  socket: Socket,
  {start, part}: {start: string; part: string},
): Promise<number> {
  let isClosed = false;
  socket.write(start);
  const write = () => {
    while (!isClosed && socket.write(part)) {
      // Goes on until the socket asks to wait.
    }
  };
  socket.on('drain', () => setImmediate(write));
  write();
  return new Promise(resolve =>
    socket.once('close', () => {
      isClosed = true;
      resolve(socket.bytesWritten);
    }),
  );
}

// What follows a complete response on its connection must not change it.
test.for(['HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb', 'no response'])(
  'a complete response is returned whole when "%s" follows it',
  async surplus => {
    const {backend, call} = await start(({socket}) =>
      socket.write(`${createResponse('a')}${surplus}`),
    );
    const response = await call('a');

    expect(await readText(response.body)).toBe('a');
    await waitUntil('the end', () => backend.openConnectionCount === 0);
  },
);

// Node.js has read the whole response by then, and its reader has not.
test('a complete response that is read after its connection was reset is returned whole', async () => {
  const {backend, call} = await start(({socket}) => {
    socket.write(createResponse('a'));
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const response = await call('a');
  await waitUntil('the end', () => backend.openConnectionCount === 0);
  await new Promise(resolve => setTimeout(resolve, 20));

  expect(await readText(response.body)).toBe('a');
});

test('a request to an address where nobody listens was never sent', async () => {
  const {backend, call} = await start(() => undefined);
  backend.close();

  await expect(call('a')).rejects.toMatchObject({name: 'NeverSent'});
});

test('a request whose connection closes without a response may have run', async () => {
  const {call} = await start(({socket}) => socket.destroy());

  await expect(call('a')).rejects.toMatchObject({name: 'Broken'});
});

// A small chunk takes many times its size on the connection.
test('a response in chunks of one byte is returned whole', async () => {
  const body = 'x'.repeat(300_000);
  const {call} = await start(({socket}) => {
    socket.write(`${HEAD}${'1\r\nx\r\n'.repeat(body.length)}0\r\n\r\n`);
  });
  const response = await call('a');

  expect(await readText(response.body)).toBe(body);
});

// Such a response held its connection until the time limit for headers, 120 s, or for ever.
test.for(Object.keys(ENDLESS))(
  'a %s without an end closes the connection and fails the request',
  async name => {
    let written: Promise<number> | undefined;
    const {call} = await start(({socket}) => {
      written = writeWithoutEnd(socket, ENDLESS[name]);
    });
    const readAll = async () => readText((await call('a')).body);

    await expect(readAll()).rejects.toMatchObject({name: 'Broken'});
    // 1 MiB is read at most; the rest is in the buffers of both sockets.
    expect(await written).toBeLessThan(8 * 1024 * 1024);
  },
);

// The kernel ends the connections of a killed process in order.
test.each([
  ['is not whole when its server was killed', true],
  ['is whole when its server listens on', false],
])('a response that ends with its connection %s', async (_what, isKilled) => {
  const {backend, call} = await start(({socket}) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\npart');
    setTimeout(() => {
      if (isKilled) {
        backend.kill();
      }
      socket.end();
    }, 20);
  });
  const {body} = await call('a');
  const text = await readText(body).catch((error: Error) => error.name);
  expect(text).toBe(isKilled ? 'Broken' : 'part');
});

// What has arrived is read late while the reader or this process is held up, and the server may be another one then.
test('a response that is read late is not whole when its server was killed and started again meanwhile', async () => {
  const sockets: net.Socket[] = [];
  const server = net.createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      socket.write(Buffer.alloc(1024 * 1024, 'x'));
      server.close();
      sockets.forEach(each => each.end());
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const client = BackendHttpClient.create();
  closers.push(() => client.close());
  const {body} = await client.call({
    url: `http://127.0.0.1:${port}`,
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.from('a'),
    signal: AbortSignal.timeout(5_000),
  });
  await new Promise(resolve => setTimeout(resolve, 500));
  const restarted = net.createServer();
  await new Promise<void>(resolve =>
    restarted.listen(port, '127.0.0.1', resolve),
  );
  closers.push(() => restarted.close());
  const end = await readText(body).then(
    () => 'whole',
    (error: Error) => error.name,
  );
  expect(end).toBe('Broken');
});
