// Guards against requests that are held, and gateways that fill up, while a backend server sends bytes without end.
import {describe, expect, test} from 'vitest';
import {startFixture, writeRaw} from '../support/backend_scripts';
import {EndlessResponse} from '../support/endless_response';
import {FakeBackend} from '../support/fake_backend';
import {waitUntil} from '../support/wait_until';

type Handler = Parameters<typeof FakeBackend.create>[0];
type Fixture = Awaited<ReturnType<typeof startFixture>>['fixture'];

const MARKS = 'request-id: REQUEST_ID\nseal: s\n';
const CHUNKED = `HTTP/1.1 200 OK\n${MARKS}transfer-encoding: chunked\n\n`;

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
