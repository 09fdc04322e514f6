/** Guards against a late second copy of an answer that is taken for the answer to a later request. */
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {BackendHttpClient} from '../../src/transport/backend_http_client';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

test('a repeated answer of a backend server is not taken for the answer to the next request', async () => {
  let connections = 0;
  const server = net.createServer(socket => {
    connections += 1;
    let copy = '';
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const [, path = ''] = /^GET (\S+)/.exec(String(chunk)) ?? [];
      const answer = `HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`;
      socket.write(copy + answer);
      copy = answer;
    });
    closers.push(() => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const backend = BackendHttpClient.create();
  closers.push(() => backend.close());
  const read = async (path: string) => {
    const {port} = server.address() as net.AddressInfo;
    const {body} = await backend.call({
      url: `http://127.0.0.1:${port}`,
      method: 'GET',
      path,
      headers: {},
      body: Buffer.alloc(0),
      signal: AbortSignal.timeout(2_000),
    });
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
  };

  const paths = ['/1', '/2', '/3', '/4'];
  const answers: string[] = [];
  for (const path of paths) {
    answers.push(await read(path));
  }
  expect(answers).toEqual(paths);
  expect(await Promise.all(paths.map(read))).toEqual(paths);
  expect(connections).toBe(8);
});
