/**
 * Guards against answers that look whole because a process was killed: the kernel ends the
 * connections of a killed process in order, like a process that has sent everything.
 */
import * as net from 'node:net';
import {describe, expect, test} from 'vitest';
import {FakeBackend} from '../support/fake_backend';
import {
  encodeEvents,
  sendOk,
  sendStream,
  startFixture,
} from '../support/backend_scripts';
import {ProxyFixture} from '../support/proxy_fixture';

type Handler = Parameters<typeof FakeBackend.create>[0];

const PLAIN_HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: s\r\n\r\n';
const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: first\r\ncontent-type: text/event-stream\r\n\r\n';
/** Until what was written has arrived. */
const ARRIVES_MS = 50;
const RESUMABLE = {kind: 'stream', isResumable: true} as const;

/** Starts a fixture whose first backend server writes the text and is killed then. */
async function startKilled(
  text: string,
  others: Handler[],
  route: Parameters<typeof startFixture>[1],
) {
  const killed: Handler = ({socket}) => {
    socket.write(text);
    setTimeout(() => {
      started.backends[0].kill();
      socket.end();
    }, ARRIVES_MS);
  };
  const started = await startFixture([killed, ...others], route);
  return started;
}

/** Writes an unframed response, and ends its connection while the server goes on listening. */
function writeAndEnd(text: string): Handler {
  return ({socket}) => socket.end(text);
}

describe('a backend server that is killed', () => {
  test('between two events of a stream without a length does not end it', async () => {
    const {fixture, backends} = await startKilled(
      STREAM_HEAD + encodeEvents(1, 2, 3),
      [sendStream('b', [4, 5, 6], 'whole')],
      RESUMABLE,
    );
    const received = await fixture.send();
    expect(received).toMatchObject({
      body: encodeEvents(1, 2, 3, 4, 5, 6),
      isWhole: true,
    });
    expect(backends[1].requests[0].headers.get('last-event-id')).toBe('3');
  });

  test('before the first event of a stream without a length does not end it', async () => {
    const {fixture} = await startKilled(
      STREAM_HEAD,
      [sendStream('b', [1, 2], 'whole')],
      RESUMABLE,
    );
    expect(await fixture.send()).toMatchObject({
      body: encodeEvents(1, 2),
      isWhole: true,
    });
  });

  test('after the last event lets its stream end when no event is left elsewhere', async () => {
    const {fixture} = await startKilled(
      STREAM_HEAD + encodeEvents(1, 2),
      [writeAndEnd(STREAM_HEAD)],
      RESUMABLE,
    );
    expect(await fixture.send()).toMatchObject({
      body: encodeEvents(1, 2),
      isWhole: true,
    });
  });

  test('cuts a stream without a length that can not be resumed', async () => {
    const {fixture} = await startKilled(
      STREAM_HEAD + encodeEvents(1, 2, 3),
      [],
      {kind: 'stream', isResumable: false},
    );
    const isWhole = await fixture.send().then(
      received => received.isWhole,
      () => false,
    );
    expect(isWhole).toBe(false);
  });

  test('does not end a plain answer without a length that may be repeated', async () => {
    const {fixture} = await startKilled(
      `${PLAIN_HEAD}bo`,
      [sendOk('second')],
      {},
    );
    expect(await fixture.send()).toMatchObject({status: 200, body: 'second'});
  });

  test('fails a plain answer without a length that may not be repeated', async () => {
    const {fixture, backends} = await startKilled(
      `${PLAIN_HEAD}bo`,
      [sendOk('second')],
      {kind: 'unsafe'},
    );
    expect((await fixture.send()).status).toBe(502);
    expect(backends[1].requests).toHaveLength(0);
  });
});

describe('a gateway that is killed', () => {
  /** Sends a request on a raw connection, and reads until the text has come or the connection is closed. */
  async function readRaw(
    fixture: ProxyFixture,
    version: string,
    until: string,
  ): Promise<string> {
    const socket = net.connect(fixture.port, '127.0.0.1');
    socket.write(`GET /x HTTP/${version}\r\nhost: h\r\nrequest-id: q\r\n\r\n`);
    let text = '';
    try {
      for await (const chunk of socket) {
        text += String(chunk);
        if (text.includes(until)) {
          break;
        }
      }
    } catch {
      text += '(reset)';
    }
    return text;
  }

  const hold: Handler = ({socket}) =>
    socket.write(STREAM_HEAD + encodeEvents(1, 2));

  test('during a stream without a length leaves its caller without the end of a chunked body', async () => {
    const {fixture} = await startFixture([hold], RESUMABLE);
    const text = await readRaw(fixture, '1.1', 't2');
    expect(text.toLowerCase()).toContain('transfer-encoding: chunked');
  });

  test('during a plain answer without a length leaves its caller without a part of the length', async () => {
    const {fixture} = await startFixture([writeAndEnd(`${PLAIN_HEAD}body`)]);
    const text = await readRaw(fixture, '1.1', 'body');
    expect(text.toLowerCase()).toContain('content-length: 4');
  });

  test.each([
    [
      'a stream without a length',
      ({socket}) => {
        socket.write(STREAM_HEAD + encodeEvents(1));
        setTimeout(() => socket.resetAndDestroy(), ARRIVES_MS);
      },
    ],
    ['a stream in chunks', sendStream('a', [1], 'reset')],
  ] as Array<[string, Handler]>)(
    'resets the connection of a caller that reads no chunks when %s breaks off',
    async (_what, handler) => {
      const {fixture} = await startFixture([handler], {
        kind: 'stream',
        isResumable: false,
      });
      const text = await readRaw(fixture, '1.0', 'nothing');
      expect(text.toLowerCase()).not.toContain('chunked');
      expect(text).toContain('(reset)');
    },
  );
});
