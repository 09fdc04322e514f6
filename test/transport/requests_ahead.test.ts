/**
 * Guards against one connection that takes all turns. Node's parser passes on every
 * request of one read, up to 64 KiB with thousands of them, and each was begun at once:
 * while 100 connections sent 200,000 requests ahead each, no other caller got an answer.
 */
import * as http from 'node:http';
import * as fc from 'fast-check';
import {afterEach, expect, test, vi} from 'vitest';
import {HttpListener} from '../../src/transport/http_listener';
import {RawCaller} from '../support/raw_caller';
import {waitUntil} from '../support/wait_until';

const CLOSERS: Array<() => unknown> = [];
const AHEAD = 20;

afterEach(async () => {
  for (const close of CLOSERS.splice(0).reverse()) {
    await close();
  }
});

type Handler = (
  message: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

async function listen(onRequest: Handler): Promise<number> {
  const listener = await HttpListener.create({
    host: '127.0.0.1',
    port: 0,
    maxConnections: 1_000,
    onRequest,
  });
  CLOSERS.push(() => listener.close());
  return listener.port;
}

async function connect(port: number): Promise<RawCaller> {
  const caller = await RawCaller.create(port);
  CLOSERS.push(() => caller.close());
  return caller;
}

function formatRequest(path: string): string {
  return `GET /${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
}

function formatPost(path: string, body: string): string {
  return `POST /${path} HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function formatChunked(path: string, ...chunks: string[]): string {
  const encoded = [...chunks, ''].map(
    chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
  );
  return `POST /${path} HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${encoded.join('')}`;
}

/** Records the requests that began, and answers each when the test says so. */
function createHeldAnswers() {
  const begun: string[] = [];
  const open: http.ServerResponse[] = [];
  const handle: Handler = (message, response) => {
    begun.push(message.url ?? '');
    message.resume();
    open.push(response);
  };
  return {begun, open, handle, answerNext: () => open.shift()?.end('ok')};
}

/** Answers each request at once with its path and its body. */
function createEcho() {
  const seen: string[] = [];
  const handle: Handler = (message, response) => {
    let body = '';
    message.on('data', bytes => (body += String(bytes)));
    message.on('end', () => {
      seen.push(`${message.url} ${body}`);
      response.end('ok');
    });
  };
  return {seen, handle};
}

test('a request that is sent ahead does not begin before the response to the one before has ended', async () => {
  const answers = createHeldAnswers();
  const caller = await connect(await listen(answers.handle));
  caller.send(
    Array.from({length: AHEAD}, (_, at) => formatRequest(`${at}`)).join(''),
  );
  await waitUntil('the first', () => answers.begun.length > 0);
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(answers.begun).toEqual(['/0']);

  for (let at = 1; at < AHEAD; at += 1) {
    answers.answerNext();
    await waitUntil('the next', () => answers.begun.length > at);
  }
  answers.answerNext();
  await waitUntil('all', () => caller.statuses.length === AHEAD);
  expect(answers.begun).toEqual(
    Array.from({length: AHEAD}, (_, at) => `/${at}`),
  );
});

const CROWD = 100;
/** Turns of the event loop that an ordinary request may take until it is read. */
const MAX_TURNS = 4;

test('an ordinary request begins within a few turns while 100 connections send ahead', async () => {
  const begun: string[] = [];
  const port = await listen((message, response) => {
    begun.push(message.url ?? '');
    response.end('ok');
  });
  const crowd = await Promise.all(
    Array.from({length: CROWD}, () => connect(port)),
  );
  const ordinary = await connect(port);
  // The loop accepts one connection a turn, so each is used once before.
  [...crowd, ordinary].forEach(each => each.send(formatRequest('first')));
  await waitUntil('all', () => begun.length === CROWD + 1);
  crowd.forEach(each => each.send(formatRequest('ahead').repeat(20_000)));
  await waitUntil('the crowd', () => begun.length > 10 * CROWD);
  const before = begun.length;
  ordinary.send(formatRequest('ordinary'));
  await waitUntil('the answer', () => ordinary.statuses.length === 2);
  const between = begun.indexOf('/ordinary') - before;
  expect(between).toBeLessThanOrEqual(MAX_TURNS * CROWD);
});

test('requests ahead are not parsed while the response to the first is awaited', async () => {
  const answers = createHeldAnswers();
  const port = await listen(answers.handle);
  const crowd = await Promise.all(
    Array.from({length: 20}, () => connect(port)),
  );
  const messages = await countMessages(async () => {
    crowd.forEach(each => each.send(formatRequest('ahead').repeat(20_000)));
    await waitUntil('each', () => answers.begun.length >= 20);
    await new Promise(resolve => setTimeout(resolve, 100));
  });
  expect(messages).toBe(20);
});

/** Counts the requests that the parser passes on meanwhile. */
async function countMessages(run: () => Promise<void>): Promise<number> {
  const emit = vi.spyOn(http.Server.prototype, 'emit');
  await run();
  const events = emit.mock.calls.map(([event]) => String(event));
  emit.mockRestore();
  return events.filter(event => event === 'request').length;
}

const MIXED: ReadonlyArray<readonly [string, string]> = [
  [formatRequest('a'), '/a '],
  [formatPost('b', 'x'.repeat(5_000)), `/b ${'x'.repeat(5_000)}`],
  [formatChunked('c', 'one', 'y'.repeat(3_000)), `/c one${'y'.repeat(3_000)}`],
  [formatChunked('d'), '/d '],
  [`\r\n${formatPost('e', '0\r\n\r\n\n\n')}`, '/e 0\r\n\r\n\n\n'],
  [formatPost('g', ''), '/g '],
  [formatRequest('h'), '/h '],
];

test.each([1, 2, 3, 5, 7, 64, 1_000, 4_096, 100_000])(
  'requests of all framings sent ahead in pieces of %i bytes are each answered once, in order',
  async size => {
    const echo = createEcho();
    const caller = await connect(await listen(echo.handle));
    caller.socket.setNoDelay(true);
    const text = MIXED.map(([request]) => request).join('');
    for (let at = 0; at < text.length; at += size) {
      caller.send(text.slice(at, at + size));
      if (size < 1_000 && at % 50 === 0) {
        await new Promise(resolve => setImmediate(resolve));
      }
    }
    await waitUntil('answers', () => caller.statuses.length === MIXED.length);
    expect(echo.seen).toEqual(MIXED.map(([, expected]) => expected));
    expect(new Set(caller.statuses)).toEqual(new Set([200]));
  },
);

const BODY = fc
  .array(
    fc.constantFrom(
      '0\r\n\r\n',
      '\n\r\n',
      '\n\n',
      'GET /x',
      'a',
      'b'.repeat(900),
    ),
    {maxLength: 8},
  )
  .map(parts => parts.join(''));
const DRAWN_REQUEST = fc.oneof(
  BODY.map(body => ({body, format: (path: string) => formatPost(path, body)})),
  fc.array(BODY.filter(Boolean), {maxLength: 4}).map(chunks => ({
    body: chunks.join(''),
    format: (path: string) => formatChunked(path, ...chunks),
  })),
  fc.constant({body: '', format: formatRequest}),
);

test('drawn requests, cut at drawn places, are each answered once, in order', async () => {
  const echo = createEcho();
  const port = await listen(echo.handle);
  await fc.assert(
    fc.asyncProperty(
      fc.array(DRAWN_REQUEST, {minLength: 1, maxLength: 12}),
      fc.array(fc.integer({min: 1, max: 3_000}), {maxLength: 20}),
      async (requests, cuts) => {
        echo.seen.length = 0;
        const caller = await connect(port);
        caller.socket.setNoDelay(true);
        const text = requests.map(({format}, at) => format(`${at}`)).join('');
        let sent = 0;
        for (const length of [...cuts, text.length]) {
          caller.send(text.slice(sent, sent + length));
          sent += length;
          await new Promise(resolve => setImmediate(resolve));
        }
        await waitUntil(
          'answers',
          () => caller.statuses.length === requests.length,
          5_000,
        );
        caller.close();
        expect(echo.seen).toEqual(
          requests.map(({body}, at) => `/${at} ${body}`),
        );
      },
    ),
    {numRuns: 200, seed: 1488356133},
  );
});

// The rest of a head was taken for empty lines before it, or waited for more of it for good.
test.each([
  ['the last chunk', '0\r\n\r\n'],
  ['a trailer', '0\r\nx-a: b\r\n\r\n'],
  ['an extension of the last chunk', '0;x=y\r\n\r\n'],
])(
  'a request behind a chunked body that ends with %s is answered, wherever it is cut',
  async (_what, last) => {
    const echo = createEcho();
    const port = await listen(echo.handle);
    const start =
      'POST /0 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n5\r\n0\r\n\r\n\r\n';
    const text = `${start}${last}${formatRequest('1')}${formatPost('2', 'body')}`;
    for (let cut = start.length - 8; cut < text.length; cut += 1) {
      echo.seen.length = 0;
      const caller = await connect(port);
      caller.socket.setNoDelay(true);
      caller.send(text.slice(0, cut));
      await new Promise(resolve => setTimeout(resolve, 2));
      caller.send(text.slice(cut));
      await waitUntil(
        `answers with a cut at ${cut}`,
        () => caller.statuses.length === 3,
        5_000,
      );
      caller.close();
      expect(echo.seen).toEqual(['/0 0\r\n\r\n', '/1 ', '/2 body']);
    }
  },
);

test('requests that Node answers itself take their turn, too', async () => {
  const echo = createEcho();
  const port = await listen(echo.handle);
  const caller = await connect(port);
  caller.send(
    formatRequest('first') +
      'GET /x HTTP/1.1\r\nhost: h\r\nexpect: much\r\n\r\n' +
      formatRequest('dropped'),
  );
  await caller.closed;
  expect(caller.statuses).toEqual([200, 417]);
  const other = await connect(port);
  other.send('GET /y HTTP/1.1\r\n\r\n' + formatRequest('dropped'));
  await other.closed;
  expect(other.statuses).toEqual([400]);
  expect(echo.seen).toEqual(['/first ']);
});

test('a head that ends with bare line feeds is answered at once', async () => {
  const caller = await connect(await listen(createEcho().handle));
  caller.send('GET /f HTTP/1.1\nhost: h\n\n');
  await waitUntil('an answer', () => caller.statuses.length === 1);
});

test('unread responses keep further requests from being begun', async () => {
  let begun = 0;
  const body = 'x'.repeat(256 * 1024);
  const port = await listen((_message, response) => {
    begun += 1;
    response.end(body);
  });
  const caller = await connect(port);
  caller.socket.pause();
  caller.send(formatRequest('large').repeat(2_000));
  await waitUntil('the first', () => begun > 0);
  let last = 0;
  await waitUntil('a standstill', () => {
    const isStill = begun === last;
    last = begun;
    return isStill;
  });
  // The kernel's buffers take the first ones.
  expect(begun).toBeLessThan(100);
});

test('a body that goes on after its response was sent is read to its end before the next request', async () => {
  const seen: string[] = [];
  const port = await listen((message, response) => {
    seen.push(message.url ?? '');
    response.end('early');
  });
  const caller = await connect(port);
  const body = 'z'.repeat(300_000);
  caller.send(formatPost('first', body) + formatRequest('second'));
  await waitUntil('both', () => caller.statuses.length === 2);
  expect(seen).toEqual(['/first', '/second']);
});
