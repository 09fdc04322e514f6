/** Responses without a length or chunks, which end with their connection. */
import {describe, expect, test} from 'vitest';
import {FakeBackend} from '../support/fake_backend';
import {encodeEvents, sendOk, startFixture} from '../support/backend_scripts';
import {waitUntil} from '../support/wait_until';

type Handler = Parameters<typeof FakeBackend.create>[0];

const PLAIN_HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: s\r\n\r\n';
const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: first\r\ncontent-type: text/event-stream\r\n\r\n';
/** Until what was written has arrived, so that a reset does not overtake it. */
const ARRIVES_MS = 50;

/** Writes the text, and then ends or resets the connection. */
function writeAndClose(text: string, how: 'end' | 'reset'): Handler {
  return ({socket}) => {
    socket.write(text);
    setTimeout(
      () => (how === 'end' ? socket.end() : socket.resetAndDestroy()),
      ARRIVES_MS,
    );
  };
}

describe('a plain response', () => {
  test('is complete when its connection ends', async () => {
    const {fixture} = await startFixture([
      writeAndClose(`${PLAIN_HEAD}body`, 'end'),
    ]);
    const received = await fixture.send();

    expect(received).toMatchObject({status: 200, body: 'body', isWhole: true});
  });

  test('is not passed on when its connection is reset', async () => {
    const {fixture, backends} = await startFixture([
      writeAndClose(`${PLAIN_HEAD}bo`, 'reset'),
      sendOk('second'),
    ]);

    expect((await fixture.send()).body).toBe('second');
    expect(backends.map(({requests}) => requests.length)).toEqual([1, 1]);
  });

  test('that is reset and must not be repeated fails', async () => {
    const {fixture} = await startFixture(
      [writeAndClose(`${PLAIN_HEAD}bo`, 'reset'), sendOk('second')],
      {kind: 'unsafe'},
    );

    expect((await fixture.send()).status).toBe(502);
  });

  test('leaves no connection that another request is sent on', async () => {
    const {fixture, backends} = await startFixture([
      writeAndClose(`${PLAIN_HEAD}body`, 'end'),
    ]);
    await fixture.send();
    await fixture.send();
    const [first, second] = backends[0].requests;

    expect(first.socket).not.toBe(second.socket);
    await waitUntil('closed', () => backends[0].openConnectionCount === 0);
  });
});

describe('a stream', () => {
  const route = {kind: 'stream', isResumable: true} as const;

  test('is complete when its connection ends after an event', async () => {
    const {fixture} = await startFixture(
      [writeAndClose(STREAM_HEAD + encodeEvents(1, 2), 'end')],
      route,
    );
    const received = await fixture.send();

    expect(received).toMatchObject({
      status: 200,
      body: encodeEvents(1, 2),
      isWhole: true,
    });
  });

  test.each([
    ['ends inside an event', 'end', 'id: 2\nda'],
    ['is reset after an event', 'reset', ''],
    ['is reset inside an event', 'reset', 'id: 2\nda'],
  ] as const)('that %s is resumed', async (_name, how, rest) => {
    const {fixture, backends} = await startFixture(
      [
        writeAndClose(STREAM_HEAD + encodeEvents(1) + rest, how),
        writeAndClose(STREAM_HEAD + encodeEvents(2, 3), 'end'),
      ],
      route,
    );
    const received = await fixture.send();

    expect(received.body).toBe(encodeEvents(1, 2, 3));
    expect(received.isWhole).toBe(true);
    expect(backends[1].requests[0].headers.get('last-event-id')).toBe('1');
  });

  test.each([
    ['ends inside an event', 'end'],
    ['is reset inside an event', 'reset'],
  ] as const)(
    'that %s and can not be resumed is broken off',
    async (_name, how) => {
      const text = `${STREAM_HEAD}${encodeEvents(1)}id: 2\nda`;
      const {fixture} = await startFixture([writeAndClose(text, how)], {
        kind: 'stream',
        isResumable: false,
      });
      const isWhole = await fixture.send().then(
        received => received.isWhole,
        () => false,
      );

      expect(isWhole).toBe(false);
    },
  );
});
