// Guards against requests that are held, and gateways that fill up, while a backend server sends bytes without end.
import {describe, expect, test} from 'vitest';
import {
  STREAM_HEAD,
  encodeChunk,
  encodeEvents,
  sendStream,
  startFixture,
  writeRaw,
} from '../support/backend_scripts';
import {EndlessResponse} from '../support/endless_response';
import {FakeBackend} from '../support/fake_backend';
import {waitUntil} from '../support/wait_until';

type Handler = Parameters<typeof FakeBackend.create>[0];
type Fixture = Awaited<ReturnType<typeof startFixture>>['fixture'];

const MARKS = 'request-id: REQUEST_ID\nseal: s\n';
const CHUNKED = `HTTP/1.1 200 OK\n${MARKS}transfer-encoding: chunked\n\n`;
const STREAM = CHUNKED.replace('\n\n', '\ncontent-type: text/event-stream\n\n');
const CHUNK = encodeChunk('x'.repeat(1_000));

/** Answers with the id of the request. */
const answerOk: Handler = arrived =>
  writeRaw(
    `HTTP/1.1 200 OK\nrequest-id: ${arrived.headers.get('request-id')}\nseal: s\ncontent-length: 2\n\nok`,
  )(arrived);

/** Lists the causes of the rejected responses that were logged. */
function listCauses({events}: Fixture): unknown[] {
  return events
    .listSince(0)
    .filter(({type}) => type === 'response-rejected')
    .map(({details}) => details?.cause);
}

describe.each([
  ['a status line', 'HTTP/1.1 200 ', 'OK', 'oversized-head'],
  ['empty lines before a status line', '', '\r\n', 'oversized-head'],
  [
    'a header',
    `HTTP/1.1 200 OK\n${MARKS}long: `,
    'x'.repeat(100),
    'oversized-head',
  ],
  ['headers', `HTTP/1.1 200 OK\n${MARKS}`, 'more: x\r\n', 'oversized-head'],
  [
    'interim responses',
    '',
    'HTTP/1.1 102 Processing\r\n\r\n',
    'oversized-head',
  ],
  ['chunk extensions', `${CHUNKED}5;`, 'name=value;', 'oversized-framing'],
  ['the digits of a chunk size', CHUNKED, '0'.repeat(100), 'oversized-framing'],
  [
    'a trailer',
    `${CHUNKED}2\nok\n0\ntrailer: `,
    'x'.repeat(100),
    'oversized-framing',
  ],
  ['a chunked body', CHUNKED, CHUNK, 'oversized-body'],
  [
    'a chunked body of single bytes',
    CHUNKED,
    encodeChunk('x'),
    'oversized-body',
  ],
  [
    'a body that ends with the connection',
    `HTTP/1.1 200 OK\n${MARKS}\n`,
    'x'.repeat(1_000),
    'oversized-body',
  ],
  [
    'a body of an announced length that is too large',
    `HTTP/1.1 200 OK\n${MARKS}content-length: 90000000000\n\n`,
    'x'.repeat(1_000),
    'oversized-body',
  ],
  ['one event of a stream', STREAM, CHUNK, 'oversized-event'],
  [
    'one event of a stream in single bytes',
    STREAM,
    encodeChunk('x'),
    'oversized-event',
  ],
])('%s without end', (_name, start, piece, cause) => {
  test('is cut off, and another backend server answers a safe request', async () => {
    const endless = EndlessResponse.create({start, piece});
    const {fixture} = await startFixture([endless.handle, answerOk]);
    const received = await fixture.send();
    expect(received).toMatchObject({status: 200, body: 'ok'});
    await waitUntil('the connection closes', () => endless.isClosed);
    expect(listCauses(fixture)).toEqual([cause]);
  });

  test('is cut off, and an unsafe request fails without a promise', async () => {
    const endless = EndlessResponse.create({start, piece});
    const {fixture, backends} = await startFixture([endless.handle, answerOk], {
      kind: 'unsafe',
    });
    const received = await fixture.send({}, 'order');
    expect(received.status).toBe(502);
    expect(backends[1].requests).toHaveLength(0);
    await waitUntil('the connection closes', () => endless.isClosed);
    expect(fixture.balancer.countRunning('i0')).toBe(0);
  });
});

// Each of them was taken for the head of the answer.
test.each(['', 'request-id: q\n', 'request-id: other\nnot-run: 1\n'])(
  'interim responses with the headers %j are no answer',
  async headers => {
    const interim = `HTTP/1.1 102 Processing\n${headers}\nHTTP/1.1 103 Early Hints\n${headers}\n`;
    const {fixture, backends} = await startFixture(
      [
        arrived => {
          writeRaw(interim)(arrived);
          setImmediate(() => answerOk(arrived));
        },
        answerOk,
      ],
      {kind: 'unsafe'},
    );
    const received = await fixture.send({}, 'order');
    expect(received).toMatchObject({status: 200, body: 'ok'});
    expect(backends[1].requests).toHaveLength(0);
    await fixture.send({'request-id': 'next'}, 'order');
    const [first, next] = backends[0].requests;
    expect(first.socket).toBe(next.socket);
    expect(listCauses(fixture)).toEqual([]);
  },
);

// It was read up to the limit first.
test('a body that is announced as too long is not waited for', async () => {
  const sockets: Array<Parameters<Handler>[0]['socket']> = [];
  const {fixture} = await startFixture([
    arrived => {
      sockets.push(arrived.socket);
      const length = 8 * 1024 * 1024 + 1;
      writeRaw(
        `HTTP/1.1 200 OK\n${MARKS}content-length: ${length}\n\nx`.replace(
          'REQUEST_ID',
          'q',
        ),
      )(arrived);
    },
    answerOk,
  ]);
  expect(await fixture.send()).toMatchObject({status: 200, body: 'ok'});
  await waitUntil('the connection closes', () => sockets[0].destroyed);
  expect(listCauses(fixture)).toEqual(['oversized-body']);
});

test('the longest body that can be held arrives unchanged', async () => {
  const body = 'abcdefgh'.repeat(1024 * 1024);
  const {fixture} = await startFixture([
    writeRaw(
      `HTTP/1.1 200 OK\nrequest-id: q\nseal: s\ncontent-length: ${body.length}\n\n${body}`,
    ),
  ]);
  const received = await fixture.send();
  expect(received.status).toBe(200);
  expect(received.body === body).toBe(true);
});

// The stream paused until its deadline, or until it counted as stalled.
test('a stream with an event without end is resumed elsewhere after the events before it', async () => {
  const endless = EndlessResponse.create({start: '', piece: CHUNK});
  const {fixture, backends} = await startFixture(
    [
      arrived => {
        writeRaw(STREAM_HEAD)(arrived);
        arrived.socket.write(encodeChunk(encodeEvents(1, 2)));
        endless.handle(arrived);
      },
      sendStream('second', [3], 'whole'),
    ],
    {kind: 'stream', isResumable: true},
  );
  const received = await fixture.send();
  expect(received).toMatchObject({isWhole: true, body: encodeEvents(1, 2, 3)});
  expect(backends[1].requests[0].headers.get('last-event-id')).toBe('2');
  await waitUntil('the connection closes', () => endless.isClosed);
  expect(listCauses(fixture)).toEqual(['oversized-event']);
});

const FULL = 'HTTP/1.1 503 Full\nrequest-id: REQUEST_ID\nnot-run: 1\n';

// The outcome is known at the head; the request waited for the body until its deadline.
describe.each([
  ['a 503', FULL],
  ['a 429', FULL.replace('503', '429')],
  ['a 421', 'HTTP/1.1 421 Misdirected\nrequest-id: REQUEST_ID\n'],
])('a refusal with %s', (_name, head) => {
  describe.each([
    [
      'a chunked body without end',
      `${head}transfer-encoding: chunked\n\n`,
      encodeChunk('x'.repeat(1_000)),
    ],
    [
      'chunk extensions without end',
      `${head}transfer-encoding: chunked\n\n5;`,
      'name=value;',
    ],
    ['a long body', `${head}content-length: 90000000000\n\n`, 'x'],
    ['a body that ends with the connection', `${head}\n`, 'x'],
  ])('and %s', (_body, start, piece) => {
    test('lets an unsafe request run elsewhere', async () => {
      const endless = EndlessResponse.create({start, piece});
      const {fixture} = await startFixture([endless.handle, answerOk], {
        kind: 'unsafe',
      });
      const received = await fixture.send({}, 'order');
      expect(received).toMatchObject({status: 200, body: 'ok'});
      await waitUntil('the connection closes', () => endless.isClosed);
      expect(fixture.balancer.countRunning('i0')).toBe(0);
    });

    test('is a promise to its caller', async () => {
      const endless = EndlessResponse.create({start, piece});
      const {fixture} = await startFixture([endless.handle], {kind: 'unsafe'});
      const received = await fixture.send({}, 'order');
      expect(received.status).toBe(503);
      await waitUntil('the connection closes', () => endless.isClosed);
    });
  });

  test('and a body that never comes closes its connection', async () => {
    const start = `${head}content-length: 5\n\n`;
    const sockets: Array<Parameters<Handler>[0]['socket']> = [];
    const {fixture, backends} = await startFixture(
      [
        arrived => {
          sockets.push(arrived.socket);
          writeRaw(start.replace('REQUEST_ID', 'q'))(arrived);
        },
        answerOk,
      ],
      {kind: 'unsafe'},
    );
    const received = await fixture.send({}, 'order');
    expect(received).toMatchObject({status: 200, body: 'ok'});
    await waitUntil('the connection closes', () => sockets[0].destroyed);
    expect(backends[0].openConnectionCount).toBe(0);
  });

  test('and a short body that comes later keeps its connection, which is busy until then', async () => {
    const refused: Array<Parameters<Handler>[0]> = [];
    const {fixture, backends} = await startFixture(
      [
        arrived => {
          if (arrived.headers.get('request-id') === 'q') {
            refused.push(arrived);
            const text = `${head}content-length: 5\n\n`;
            writeRaw(text.replace('REQUEST_ID', 'q'))(arrived);
          } else {
            answerOk(arrived);
          }
        },
        arrived => {
          // The attempt at the other one has ended; its slot is free, and its connection is not.
          counts.push(fixture.balancer.countRunning('i0'));
          answerOk(arrived);
          refused[0].socket.write('later');
        },
      ],
      {kind: 'unsafe'},
    );
    const counts: number[] = [];
    await fixture.send({}, 'order');
    expect(counts).toEqual([0]);
    expect(fixture.balancer.countRunning('i0')).toBe(0);
    fixture.balancer.setTargets(new Map(fixture.targets.slice(0, 1)));
    await waitUntil('i0 takes requests again', async () => {
      const id = `next-${backends[0].requests.length}`;
      return (await fixture.send({'request-id': id}, 'order')).status === 200;
    });
    const sockets = new Set(backends[0].requests.map(({socket}) => socket));
    expect(sockets.size).toBe(1);
  });
});
