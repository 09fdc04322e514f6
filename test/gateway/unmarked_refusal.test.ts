// Guards against passing on a status that promises 'not executed' for a request that may have run.
import {expect, test} from 'vitest';
import {
  resetConnection,
  sendOk,
  startFixture,
  writeRaw,
} from '../support/backend_scripts';

function sendUnmarked(status: number) {
  return writeRaw(
    `HTTP/1.1 ${status} Failed\nrequest-id: q\nseal: s\ncontent-length: 0\n\n`,
  );
}

test.each([408, 429, 503])(
  'a %d without the mark that the request was not executed becomes a 502',
  async status => {
    const {fixture, backends} = await startFixture(
      [sendUnmarked(status), sendOk('second')],
      {kind: 'unsafe'},
    );
    const received = await fixture.send({}, 'order');

    expect(received.status).toBe(502);
    expect(received.headers['seal']).toBeUndefined();
    expect(backends[1].requests).toHaveLength(0);
    expect(fixture.results[0]).toMatchObject({
      reason: 'the backend server does not state that the request was not run',
      received: `status ${status}, id q, request 1 on its connection`,
    });
  },
);

test('a request that may be repeated is sent elsewhere after a 503 without the mark', async () => {
  const {fixture} = await startFixture([sendUnmarked(503), sendOk('second')]);
  expect((await fixture.send()).body).toBe('second');
});

test.each(['200 OK', '500 Error', '504 Timeout'])(
  'the mark on a %s is no promise that the request was not executed',
  async status => {
    const {fixture, backends} = await startFixture(
      [
        writeRaw(
          `HTTP/1.1 ${status}\nrequest-id: q\nseal: s\nnot-run: 1\ncontent-length: 2\n\nok`,
        ),
        sendOk('second'),
      ],
      {kind: 'unsafe'},
    );
    expect((await fixture.send({}, 'order')).status).toBe(502);
    expect(backends[1].requests).toHaveLength(0);
  },
);

test('a request that was sent twice gets no unmarked 503 of the second backend server', async () => {
  const {fixture} = await startFixture([resetConnection, sendUnmarked(503)]);
  expect((await fixture.send()).status).toBe(502);
});
