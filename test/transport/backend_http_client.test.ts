import {Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {BackendHttpClient} from '../../src/transport/backend_http_client';
import {FakeBackend} from '../support/fake_backend';

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

  await expect(readText(response.body)).rejects.toThrow();
});
