// Guards against passing on a status that promises 'not executed' for a request that may have run.
import {expect, test} from 'vitest';
import {sendOk, startFixture, writeRaw} from '../support/backend_scripts';

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
    expect(fixture.results[0].reason).toBe(
      'the backend server does not state that the request was not run',
    );
  },
);

test('a request that may be repeated is sent elsewhere after a 503 without the mark', async () => {
  const {fixture} = await startFixture([sendUnmarked(503), sendOk('second')]);
  expect((await fixture.send()).body).toBe('second');
});
