// Guards against taking a refusal for the answer to a request that it does not belong to.
import {describe, expect, test} from 'vitest';
import {startFixture, writeRaw} from '../support/backend_scripts';
import {FakeBackend} from '../support/fake_backend';

type Handler = Parameters<typeof FakeBackend.create>[0];

/** Answers with the id of the request. */
const answerOk: Handler = arrived =>
  writeRaw(
    `HTTP/1.1 200 OK\nrequest-id: ${readId(arrived)}\nseal: s\ncontent-length: 2\n\nok`,
  )(arrived);

function readId({headers}: Parameters<Handler>[0]): string {
  return headers.get('request-id') ?? '';
}

/** Answers the first request, and gives `foreign` in place of the answer to the second, which it runs. */
function answerWithForeign(foreign: string): Handler {
  return arrived => {
    const handle = readId(arrived) === 'late' ? writeRaw(foreign) : answerOk;
    handle(arrived);
  };
}

describe.each([
  [
    'a 503 with the id of another request',
    'HTTP/1.1 503 Full\nrequest-id: early\nnot-run: 1\ncontent-length: 0\n\n',
    'foreign',
  ],
  [
    'a 429 with the id of another request',
    'HTTP/1.1 429 Full\nrequest-id: early\nnot-run: 1\ncontent-length: 0\n\n',
    'foreign',
  ],
  [
    'a 503 without an id',
    'HTTP/1.1 503 Full\nnot-run: 1\ncontent-length: 0\n\n',
    'unidentified',
  ],
  [
    'a 421 with the id of another request',
    'HTTP/1.1 421 Misdirected\nrequest-id: early\ncontent-length: 0\n\n',
    'foreign',
  ],
  [
    'a refusal with the id of another request, a limit, a backoff and a departure',
    'HTTP/1.1 503 Full\nrequest-id: early\nnot-run: 1\nlimit: 1\nrest-ms: 60000\nleaving: 1\ncontent-length: 0\n\n',
    'foreign',
  ],
])('%s in place of the answer', (_name, foreign, cause) => {
  async function run() {
    const {fixture, backends} = await startFixture(
      [answerWithForeign(foreign), answerOk],
      {kind: 'unsafe'},
    );
    await fixture.send({'request-id': 'early'}, 'order');
    const received = await fixture.send({'request-id': 'late'}, 'order');
    return {fixture, backends, received};
  }

  test('does not let the request run again, and is no promise to its caller', async () => {
    const {backends, received} = await run();
    expect(received.status).toBe(502);
    expect(backends[1].requests).toHaveLength(0);
  });

  test('is named in the line of the request, and not to its caller', async () => {
    const {fixture, received} = await run();
    const id = cause === 'foreign' ? 'id early' : 'no id';
    expect(fixture.results[1].received).toContain(
      `, ${id}, request 2 on its connection`,
    );
    expect(received.body).not.toContain('early');
  });

  test('changes nothing that is known of its backend server', async () => {
    const {fixture, backends} = await run();
    await fixture.send({'request-id': 'next'}, 'order');
    expect(backends[0].requests.map(readId)).toEqual(['early', 'late', 'next']);
  });

  test('ends its connection, and is logged with both ids', async () => {
    const {fixture, backends} = await run();
    await fixture.send({'request-id': 'next'}, 'order');
    const [, late, next] = backends[0].requests;
    expect(late.socket).not.toBe(next.socket);
    const lines = fixture.events.listSince(0);
    const rejected = lines.find(({type}) => type === 'response-rejected');
    expect(rejected).toMatchObject({
      id: 'late',
      details: {
        cause,
        target: 'i0',
        answeredId: cause === 'foreign' ? 'early' : '',
        connectionRequests: 2,
      },
    });
  });
});

test('a late second refusal of the same request does not let it run twice', async () => {
  const refusal =
    'HTTP/1.1 503 Full\nrequest-id: q\nnot-run: 1\ncontent-length: 0\n\n';
  const sockets: unknown[] = [];
  let runs = 0;
  const {fixture} = await startFixture(
    [
      arrived => {
        const isFirst = sockets.length === 0;
        const isReused = sockets.includes(arrived.socket);
        sockets.push(arrived.socket);
        if (isFirst) {
          writeRaw(refusal)(arrived);
          return;
        }
        runs += 1;
        const handle = isReused ? writeRaw(refusal) : answerOk;
        handle(arrived);
      },
    ],
    {kind: 'unsafe'},
    {model: 'm'},
  );
  const received = await fixture.send({}, 'order');

  expect({runs, status: received.status}).toEqual({runs: 1, status: 200});
});

test('a foreign answer does not end the time for which its backend server is full', async () => {
  const foreign =
    'HTTP/1.1 503 Full\nrequest-id: early\nnot-run: 1\ncontent-length: 0\n\n';
  const answer = answerWithForeign(foreign);
  const {fixture, backends} = await startFixture(
    [
      arrived => {
        if (readId(arrived) === 'late') {
          fixture.balancer.recordFull('i0');
        }
        answer(arrived);
      },
      answerOk,
    ],
    {kind: 'unsafe'},
  );
  for (const id of ['early', 'late', 'next']) {
    await fixture.send({'request-id': id}, 'order');
  }
  expect(backends.map(({requests}) => requests.map(readId))).toEqual([
    ['early', 'late'],
    ['next'],
  ]);
});

test('the log cuts off a long id of a faulty backend server', async () => {
  const id = 'x'.repeat(10_000);
  const {fixture} = await startFixture(
    [
      writeRaw(
        `HTTP/1.1 503 Full\nrequest-id: ${id}\nnot-run: 1\ncontent-length: 0\n\n`,
      ),
    ],
    {kind: 'unsafe'},
  );
  await fixture.send({}, 'order');
  const [{details}] = fixture.events
    .listSince(0)
    .filter(({type}) => type === 'response-rejected');
  expect(details?.answeredId).toBe('x'.repeat(64));
});
