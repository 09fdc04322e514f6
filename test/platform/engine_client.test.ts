/**
 * Guards against answers of engines that are not the answers to the call: late second
 * copies of earlier ones, and bytes without end.
 */
import * as net from 'node:net';
import {afterEach, describe, expect, test, vi} from 'vitest';
import {engineClient} from '../../platform/engine_client';
import {ServerAddress} from '../../src/common/server_address';

const INCARNATION = 'i-1@1000';
const CHUNK_BYTES = 64 * 1024;
const CHUNK_INTERVAL_MS = 5;
/** The limit is reached by the second chunk; 60 chunks are sent within the timeout of a call. */
const MAX_CHUNKS = 10;
const HEAD = 'HTTP/1.1 200 OK\r\n';
const OVER_LIMIT = 'the answer is over 65536 bytes';
/** What follows the prefix is the HTTP parser's own wording, which differs between releases of Node.js 20. */
const PARSER_ERROR = expect.stringMatching(
  /^the call to 127\.0\.0\.1:\d+ failed: Parse Error: /,
) as string;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a server that calls back with each request line and body, on a raw connection. */
async function listen(
  onConnection: (socket: net.Socket) => void,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function createAnswer(status: number, body: object): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status} Status\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

const createCall = (address: string, ordersTaken = 0) => ({
  incarnation: INCARNATION,
  address: ServerAddress.parse(address),
  fence: 3,
  ordersTaken,
  order: {kind: 'stage' as const, model: 'm'},
});

/**
 * Starts an engine that sends a second copy of an answer in the place of the next one
 * on the same connection, and closes none. It accepts `limit` orders, each if its
 * expected number of earlier orders is right, and fences the others.
 */
async function startRepeatingEngine(limit = Infinity) {
  const engine = {sequence: 0, connections: 0};
  const answer = (request: string): string => {
    const {sequence} = engine;
    if (request.startsWith('GET')) {
      return createAnswer(200, {sequence, born: 1_000});
    }
    if (sequence >= limit) {
      return createAnswer(412, {});
    }
    if (!request.includes(`"expected_revision":${sequence},`)) {
      return createAnswer(409, {});
    }
    engine.sequence += 1;
    return createAnswer(202, {});
  };
  const address = await listen(socket => {
    engine.connections += 1;
    let request = '';
    let copy = '';
    socket.on('data', chunk => {
      request += String(chunk);
      const length = Number(/content-length: (\d+)/i.exec(request)?.[1] ?? 0);
      const [, body] = request.split('\r\n\r\n', 2);
      if (body === undefined || body.length < length) {
        return;
      }
      const next = answer(request);
      request = '';
      socket.write(copy + next);
      copy = next;
    });
  });
  return {engine, address};
}

describe('an engine that sends a second copy of an answer, late', () => {
  test('the answer to an order is not taken for the answer to the next order', async () => {
    const {address} = await startRepeatingEngine(1);
    const answers = [
      await engineClient.send(createCall(address)),
      await engineClient.send(createCall(address, 1)),
    ];
    expect(answers).toEqual([
      {outcome: 'begun', ordersTaken: 1},
      {outcome: 'fenced'},
    ]);
  });

  test('a report is not taken for the next report', async () => {
    const {address} = await startRepeatingEngine();
    const answers = [
      await engineClient.send(createCall(address)),
      await engineClient.send(createCall(address)),
    ];
    expect(answers).toEqual([
      {outcome: 'begun', ordersTaken: 1},
      {outcome: 'begun', ordersTaken: 2},
    ]);
  });

  test('every call has a connection of its own, one after the other and at once', async () => {
    const {address, engine} = await startRepeatingEngine();
    const probe = () =>
      engineClient.probe(ServerAddress.parse(address), INCARNATION);
    expect([await probe(), await probe()]).toEqual([true, true]);
    expect(engine.connections).toBe(2);
    expect(await Promise.all([probe(), probe()])).toEqual([true, true]);
    expect(engine.connections).toBe(4);
    await engineClient.send(createCall(address));
    await engineClient.send(createCall(address));
    expect(engine.connections).toBe(8);
  });
});

describe('an engine that sends bytes without end', () => {
  const filler = (text: string) =>
    text.repeat(Math.ceil(CHUNK_BYTES / text.length));

  test.each([
    ['a body with a length', `${HEAD}content-length: 99999999\r\n\r\n`, ' '],
    ['a body without a length', `${HEAD}\r\n`, ' '],
    [
      'a chunked body',
      `${HEAD}transfer-encoding: chunked\r\n\r\n`,
      '8\r\n        \r\n',
    ],
    [
      'a chunk extension',
      `${HEAD}transfer-encoding: chunked\r\n\r\n1;a=`,
      'a',
      PARSER_ERROR,
    ],
    [
      'trailers',
      `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n`,
      'name: value\r\n',
      PARSER_ERROR,
    ],
    ['a head', HEAD, 'name: value\r\n', PARSER_ERROR],
    ['a header', `${HEAD}name: `, 'a', PARSER_ERROR],
    ['a status line', 'HTTP/1.1 200 ', 'a', PARSER_ERROR],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    ['no HTTP', '', '\u0000', PARSER_ERROR],
  ])(
    'is disconnected at the limit, not at the timeout: %s',
    async (_what, head, text, failure?: string) => {
      const closed: number[] = [];
      const address = await listen(socket => {
        let chunks = 0;
        let timer: NodeJS.Timeout | undefined;
        socket.once('data', () => {
          socket.write(head);
          timer = setInterval(() => {
            chunks += 1;
            socket.write(filler(text));
          }, CHUNK_INTERVAL_MS);
        });
        socket.once('close', () => {
          clearInterval(timer);
          closed.push(chunks);
        });
      });

      expect(await engineClient.send(createCall(address))).toEqual({
        outcome: 'unanswered',
        failure: failure ?? `the call to ${address} failed: ${OVER_LIMIT}`,
      });
      expect(
        await engineClient.probe(ServerAddress.parse(address), INCARNATION),
      ).toBe(false);
      await expect.poll(() => closed.length).toBe(2);
      expect(Math.max(...closed)).toBeLessThanOrEqual(MAX_CHUNKS);
    },
  );

  test('the answer to an order is bounded as well', async () => {
    const closed: number[] = [];
    const address = await listen(socket => {
      let chunks = 0;
      let timer: NodeJS.Timeout | undefined;
      socket.once('data', request => {
        if (String(request).startsWith('GET')) {
          socket.write(createAnswer(200, {sequence: 0, born: 1_000}));
          return;
        }
        socket.write('HTTP/1.1 202 Accepted\r\n\r\n');
        timer = setInterval(() => {
          chunks += 1;
          socket.write(filler(' '));
        }, CHUNK_INTERVAL_MS);
      });
      socket.once('close', () => {
        clearInterval(timer);
        closed.push(chunks);
      });
    });

    expect(await engineClient.send(createCall(address))).toEqual({
      outcome: 'unanswered',
      failure: `the call to ${address} failed: ${OVER_LIMIT}`,
    });
    await expect.poll(() => closed.length).toBe(2);
    expect(Math.max(...closed)).toBeLessThanOrEqual(MAX_CHUNKS);
  });

  test('an order that is answered with an unknown status is unanswered, with the status', async () => {
    const address = await listen(socket => {
      socket.once('data', request => {
        const isReport = String(request).startsWith('GET');
        const body = {sequence: 0, born: 1_000};
        socket.write(createAnswer(isReport ? 200 : 503, body));
      });
    });
    expect(await engineClient.send(createCall(address))).toEqual({
      outcome: 'unanswered',
      failure: 'the order was answered with status 503',
    });
  });

  test('the timeout covers the head and the body together', async () => {
    const address = await listen(socket => {
      socket.once('data', () => {
        const timers = [
          setTimeout(() => socket.write(`${HEAD}\r\n`), 200),
          setInterval(() => socket.write(' '), 250),
        ];
        socket.once('close', () => timers.forEach(each => clearTimeout(each)));
      });
    });
    const schedule = vi.spyOn(globalThis, 'setTimeout');
    expect(
      await engineClient.probe(ServerAddress.parse(address), INCARNATION),
    ).toBe(false);
    const limits = schedule.mock.calls.filter(([, delayMs]) => delayMs === 300);
    schedule.mockRestore();
    // Whatever arrives, no second period begins.
    expect(limits).toHaveLength(1);
  });
});
