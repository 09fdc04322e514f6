/** Guards against a verdict on a response that depends on how its bytes are split into reads, or on bytes that are read twice. */
import * as net from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {ResponseFraming} from '../../src/transport/response_framing';

const OK = 'HTTP/1.1 200 OK\r\n';

/** Until the client has paused within the first half. */
const REST_DELAY_MS = 20;

const MICROSECONDS_PER_MS = 1_000;
/** Far above what a line takes in proportion to its bytes. */
const MAX_LINE_MS = 200;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

describe.each([
  ['a length', `${OK}content-length: 4\r\n\r\nbody`, 4],
  ['no body', `${OK}content-length: 0\r\n\r\n`, 0],
  ['no content', 'HTTP/1.1 204 No Content\r\nx: y\r\n\r\n', 0],
  [
    'chunks',
    `${OK}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n01;x\r\n\r\r\n0\r\na: b\r\n\r\n`,
    4,
  ],
  [
    'an interim response',
    `HTTP/1.1 103 Early Hints\r\n\r\n${OK}content-length: 4\r\n\r\nbody`,
    4,
  ],
])('a response with %s', (_name, text, bodyBytes) => {
  const bytes = Buffer.from(text);

  test('is complete with its last byte and no earlier, byte by byte', () => {
    const framing = ResponseFraming.create('GET');
    for (let at = 0; at < bytes.length; at += 1) {
      expect(framing.isComplete, text.slice(0, at)).toBe(false);
      framing.read(bytes.subarray(at, at + 1));
    }
    expect(framing).toMatchObject({isComplete: true, bodyBytes});
    expect(framing.fault).toBeUndefined();
  });

  test('is the same wherever it is split, whatever follows it', () => {
    for (let at = 0; at <= bytes.length; at += 1) {
      const framing = ResponseFraming.create('GET');
      framing.read(bytes.subarray(0, at));
      framing.read(Buffer.concat([bytes.subarray(at), Buffer.from('\0x')]));
      expect(framing).toMatchObject({isComplete: true, bodyBytes});
      expect(framing.fault).toBeUndefined();
    }
  });
});

test('a response to HEAD has no body, whatever its head announces', () => {
  const framing = ResponseFraming.create('HEAD');
  framing.read(Buffer.from(`${OK}content-length: 4\r\n\r\n`));
  expect(framing).toMatchObject({isComplete: true, bodyBytes: 0});
});

test('a line without an end is not held without a limit', () => {
  const framing = ResponseFraming.create('GET');
  framing.read(Buffer.from(OK));
  framing.read(Buffer.alloc(70_000, 'x'));
  expect(framing.fault).toBe('a line is too long');
});

// The HTTP client puts back what it has not parsed yet, and reads it again.
test('a response in chunks that is paused at each of them is whole', async () => {
  const count = 500;
  const body = Array.from({length: count}, (_, at) => `${at}\n`).join('');
  const chunks = Array.from({length: count}, (_, at) => {
    const text = `${at}\n`;
    return `${text.length.toString(16)}\r\n${text}\r\n`;
  }).join('');
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      const text = `${OK}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
      const half = Math.floor(text.length / 2);
      socket.write(text.slice(0, half));
      setTimeout(() => socket.write(text.slice(half)), REST_DELAY_MS);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const pool = HttpClientPool.create();
  closers.push(
    () => server.close(),
    () => pool.close(),
  );
  const {port} = server.address() as net.AddressInfo;
  const send = (id: string) =>
    new Promise<string>((resolve, reject) => {
      let text = '';
      const handle = pool.call(
        {
          id,
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
          onData: chunk => {
            text += chunk.toString();
            handle.pause();
            setImmediate(() => handle.resume());
          },
          onEnd: () => resolve(text),
          onError: reject,
        },
      );
    });
  expect(await send('first')).toBe(body);
  expect(await send('second')).toBe(body);
});

// A line that took time with the square or the cube of its blanks held the whole process up.
test.each([
  ['blanks before a control byte', `${OK}a: ${' '.repeat(4_000)}\x01\r\n`],
  ['blanks within a value', `${OK}a: b${' '.repeat(60_000)}c\r\n`],
  [
    'blanks behind a length',
    `${OK}content-length: 1${' '.repeat(60_000)}x\r\n\r\n`,
  ],
  [
    'blanks behind a coding',
    `${OK}transfer-encoding: chunked${' '.repeat(60_000)}x\r\n\r\n`,
  ],
  [
    'zeros and blanks in the size of a chunk',
    `${OK}transfer-encoding: chunked\r\n\r\n${'0'.repeat(30_000)}${' '.repeat(30_000)}\r\n`,
  ],
])('a line with many %s takes little time', (_name, text) => {
  const framing = ResponseFraming.create('GET');
  const begin = process.cpuUsage();
  framing.read(Buffer.from(text, 'latin1'));
  const {user} = process.cpuUsage(begin);
  expect(user / MICROSECONDS_PER_MS).toBeLessThan(MAX_LINE_MS);
});

test.each(['content-length:4', 'content-length: \t4 \t'])(
  'blanks around a length (%j) count for nothing',
  field => {
    const framing = ResponseFraming.create('GET');
    framing.read(Buffer.from(`${OK}${field}\r\n\r\nbody`));
    expect(framing).toMatchObject({isComplete: true, bodyBytes: 4});
  },
);

test.each(['transfer-encoding:chunked', 'transfer-encoding: \tChunked \t'])(
  'blanks around a coding (%j) count for nothing',
  field => {
    const framing = ResponseFraming.create('GET');
    framing.read(Buffer.from(`${OK}${field}\r\n\r\n1\r\na\r\n0\r\n\r\n`));
    expect(framing).toMatchObject({isComplete: true, bodyBytes: 1});
  },
);
