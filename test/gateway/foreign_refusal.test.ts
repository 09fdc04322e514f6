// Guards against taking a refusal for the answer to a request that it does not belong to.
import {expect, test} from 'vitest';
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

test('a late refusal of another request does not let a running request run again', async () => {
  const foreign =
    'HTTP/1.1 503 Full\nrequest-id: early\nnot-run: 1\ncontent-length: 0\n\n';
  const {fixture, backends} = await startFixture(
    [answerWithForeign(foreign), answerOk],
    {kind: 'unsafe'},
  );
  await fixture.send({'request-id': 'early'}, 'order');
  const received = await fixture.send({'request-id': 'late'}, 'order');

  expect(received.status).toBe(502);
  expect(backends[1].requests).toHaveLength(0);
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
