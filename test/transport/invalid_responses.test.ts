/**
 * Guards against responses that HTTP does not allow and that a parser lets pass: such
 * a status, name or framing reached callers as an answer, or with a body that was not
 * the server's.
 */
import * as net from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {httpClients} from '../support/http_clients';

const OK = 'HTTP/1.1 200 OK\r\n';
const LENGTH = 'content-length: 4\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n';
const NO_BODY = Buffer.alloc(0);

const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

/** Answers each request with these bytes, one character each, and ends the connection. */
async function startServer(response: string): Promise<string> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(Buffer.from(response, 'latin1')));
    closers.push(() => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
}

const INVALID_STATUS_LINES = [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 001 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 600 OK',
  'HTTP/1.1 999 OK',
  'HTTP/1.1 0200 OK',
  'HTTP/1.1 2000 OK',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 2 OK',
  'HTTP/1.1 20x OK',
  'HTTP/1.1 -20 OK',
  'HTTP/1.1  OK',
  'HTTP/1.1  200 OK',
  'HTTP/1.1\t200 OK',
  'HTTP/1.1 200\tOK',
  'HTTP/1.1 200 O\x01K',
  'HTTP/1.1 200 O\0K',
  'HTTP/1.1 200 O\rK',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.2 200 OK',
  'HTTP/0.9 200 OK',
  'HTTP/2.0 200 OK',
  'HTTP/11 200 OK',
  'http/1.1 200 OK',
  'ICY 200 OK',
  'RTSP/1.0 200 OK',
  ' HTTP/1.1 200 OK',
  'GET / HTTP/1.1',
];

const INVALID_FIELDS = [
  'se al: s',
  'seal : s',
  ' seal: s',
  '\tseal: s',
  'se\tal: s',
  'se\x01al: s',
  'se\0al: s',
  'se\x7fal: s',
  'se\xe9al: s',
  'se(al: s',
  'se"al: s',
  'se/al: s',
  'seal',
  ': s',
  'seal: s\0',
  'seal: \x01s',
  'seal: s\x1fs',
  'seal: s\x7f',
  'seal: s\r s',
  'seal: s\r\n s',
  'seal: s\r\n\ts',
  'seal: s\n',
  'seal: s\nseal: t',
];

const INVALID_FRAMINGS: ReadonlyArray<readonly [string, string]> = [
  ['two lengths that differ', `${LENGTH}content-length: 2\r\n\r\nbody`],
  ['two equal lengths', `${LENGTH}${LENGTH}\r\nbody`],
  ['a list of lengths', 'content-length: 4, 4\r\n\r\nbody'],
  ['a list of lengths that differ', 'content-length: 4, 2\r\n\r\nbody'],
  ['a length with a sign', 'content-length: +4\r\n\r\nbody'],
  ['a negative length', 'content-length: -4\r\n\r\nbody'],
  ['a hexadecimal length', 'content-length: 0x4\r\n\r\nbody'],
  ['a length with a fraction', 'content-length: 4.0\r\n\r\nbody'],
  ['a length with a blank', 'content-length: 4 4\r\n\r\nbody'],
  ['an empty length', 'content-length:\r\n\r\nbody'],
  ['a length in words', 'content-length: four\r\n\r\nbody'],
  [
    'a length beyond any number',
    `content-length: ${'9'.repeat(30)}\r\n\r\nbody`,
  ],
  ['a length and chunks', `${LENGTH}${CHUNKED}\r\n4\r\nbody\r\n0\r\n\r\n`],
  ['chunks and a length', `${CHUNKED}${LENGTH}\r\n4\r\nbody\r\n0\r\n\r\n`],
  ['an unknown coding', 'transfer-encoding: gzip\r\n\r\nbody'],
  ['the coding identity', 'transfer-encoding: identity\r\n\r\nbody'],
  ['an empty coding', 'transfer-encoding:\r\n\r\nbody'],
  [
    'a name that ends like a coding',
    'transfer-encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
  ],
  [
    'a coding before the chunks',
    'transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
  ],
  [
    'a coding behind the chunks',
    'transfer-encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
  ],
  ['chunks twice', `${CHUNKED}${CHUNKED}\r\n4\r\nbody\r\n0\r\n\r\n`],
  ['a chunk size with a sign', `${CHUNKED}\r\n+4\r\nbody\r\n0\r\n\r\n`],
  ['a chunk size with a prefix', `${CHUNKED}\r\n0x4\r\nbody\r\n0\r\n\r\n`],
  ['a chunk size with a blank', `${CHUNKED}\r\n4 \r\nbody\r\n0\r\n\r\n`],
  ['no chunk size', `${CHUNKED}\r\n\r\nbody\r\n0\r\n\r\n`],
  ['a chunk shorter than its size', `${CHUNKED}\r\n5\r\nbody\r\n0\r\n\r\n`],
  ['a chunk longer than its size', `${CHUNKED}\r\n3\r\nbody\r\n0\r\n\r\n`],
  ['a chunk size without CR', `${CHUNKED}\r\n4\nbody\r\n0\r\n\r\n`],
  ['a chunk without CR', `${CHUNKED}\r\n4\r\nbody\n0\r\n\r\n`],
  ['a chunk without LF', `${CHUNKED}\r\n4\r\nbody\r0\r\n\r\n`],
  [
    'a control byte in a chunk extension',
    `${CHUNKED}\r\n4;a=\x01\r\nbody\r\n0\r\n\r\n`,
  ],
  [
    'a trailer with a blank in its name',
    `${CHUNKED}\r\n4\r\nbody\r\n0\r\nse al: s\r\n\r\n`,
  ],
  ['no last chunk', `${CHUNKED}\r\n4\r\nbody\r\n`],
  ['an unfinished last chunk', `${CHUNKED}\r\n4\r\nbody\r\n0\r\n`],
  ['a body shorter than its length', 'content-length: 5\r\n\r\nbody'],
];

const INVALID: ReadonlyArray<readonly [string, string]> = [
  ...INVALID_STATUS_LINES.map(
    line =>
      [`the status line "${line}"`, `${line}\r\n${LENGTH}\r\nbody`] as const,
  ),
  ...INVALID_FIELDS.flatMap(
    field =>
      [
        [`the field "${field}"`, `${OK}${LENGTH}${field}\r\nx: y\r\n\r\nbody`],
        [`the first field "${field}"`, `${OK}${field}\r\n${LENGTH}\r\nbody`],
        [`the only field "${field}"`, `${OK}${field}\r\n\r\nbody`],
        [
          `the field "${field}" of an interim response`,
          `HTTP/1.1 103 Early Hints\r\n${field}\r\n\r\n${OK}${LENGTH}\r\nbody`,
        ],
      ] as const,
  ),
  ...INVALID_FRAMINGS.map(([what, rest]) => [what, `${OK}${rest}`] as const),
  [
    'chunks in HTTP/1.0',
    `HTTP/1.0 200 OK\r\n${CHUNKED}\r\n4\r\nbody\r\n0\r\n\r\n`,
  ],
  ['a body without content', `HTTP/1.1 204 No Content\r\n${LENGTH}\r\nbody`],
  [
    'chunks without content',
    `HTTP/1.1 204 No Content\r\n${CHUNKED}\r\n0\r\n\r\n`,
  ],
  ['line ends without CR', `HTTP/1.1 200 OK\n${LENGTH}\n\nbody`],
  ['a head that ends without CR', `${OK}${LENGTH}\nbody`],
  ['line ends without LF', 'HTTP/1.1 200 OK\rcontent-length: 4\r\rbody'],
];

const VALID: ReadonlyArray<readonly [string, string, string]> = [
  ['a length', `${OK}${LENGTH}\r\nbody`, '200 body'],
  [
    'a second response behind it',
    `${OK}${LENGTH}\r\nbody${OK}${LENGTH}\r\nmore`,
    '200 body',
  ],
  ['a length of zero', `${OK}content-length: 0\r\n\r\n`, '200 '],
  ['no length', `${OK}\r\nbody`, '200 body'],
  ['HTTP/1.0', 'HTTP/1.0 200 OK\r\n\r\nbody', '200 body'],
  ['no reason', `HTTP/1.1 200 \r\n${LENGTH}\r\nbody`, '200 body'],
  [
    'a reason in latin1',
    `HTTP/1.1 404 pas trouv\xe9\r\n${LENGTH}\r\nbody`,
    '404 body',
  ],
  ['no content', 'HTTP/1.1 204 No Content\r\n\r\n', '204 '],
  [
    'no content and a length of zero',
    'HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n',
    '204 ',
  ],
  ['the last status', `HTTP/1.1 599 x\r\n${LENGTH}\r\nbody`, '599 body'],
  [
    'an interim response',
    `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${OK}${LENGTH}\r\nbody`,
    '200 body',
  ],
  [
    'unusual names and values',
    `${OK}!#$%&'*+-.^_\`|~09az: \x80\xff\t"(),/:;<=>?@[\\]{}\r\nempty:\r\n${LENGTH}\r\nbody`,
    '200 body',
  ],
  [
    'blanks around values',
    `${OK}CONTENT-LENGTH:  4  \r\nx: \t y \t\r\nx:y\r\n\r\nbody`,
    '200 body',
  ],
  [
    'chunks',
    `${OK}${CHUNKED}\r\n2\r\nbo\r\n0002\r\ndy\r\n0\r\n\r\n`,
    '200 body',
  ],
  [
    'chunks with extensions and trailers',
    `${OK}Transfer-Encoding: Chunked\r\n\r\nA;a=b\r\n0123456789\r\n0;x\r\nx: y\r\n\r\n`,
    '200 0123456789',
  ],
];

describe.each(httpClients)('%s', (_name, send) => {
  test.each(INVALID)('fails for %j', async (_what, response) => {
    const address = await startServer(response);
    await expect(send(address, NO_BODY)).rejects.toThrow();
  });

  test.each(VALID)(
    'returns a response with %s',
    async (_what, response, expected) => {
      const {status, body} = await send(await startServer(response), NO_BODY);
      expect(`${status} ${body}`).toBe(expected);
    },
  );

  // A response whose head stopped midway was passed on as an empty or short one.
  test('fails for a head that stops after any of its bytes', async () => {
    const head = `${OK}request-id: q\r\nx: y\r\n\r\n`;
    const taken: number[] = [];
    for (let length = 0; length < head.length; length += 1) {
      const address = await startServer(head.slice(0, length));
      await send(address, NO_BODY).then(
        () => taken.push(length),
        () => undefined,
      );
    }
    expect(taken).toEqual([]);
  });
});
