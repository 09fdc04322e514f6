/** Guards against calls that end neither with the whole answer nor within their limits. */
import * as net from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {callOnNewConnection} from '../../src/transport/call_on_new_connection';

const MAX_ANSWER_BYTES = 1_024;
const TIMEOUT_MS = 200;
const HEAD = 'HTTP/1.1 200 OK\r\n';
const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

async function callServer(answer: string, ends: boolean) {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () =>
      ends ? socket.end(answer) : socket.write(answer),
    );
    closers.push(() => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  const call = callOnNewConnection({
    address: ServerAddress.parse(`127.0.0.1:${port}`),
    method: 'GET',
    path: '/',
    timeoutMs: TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  return call.then(
    ({status, body}) => `${status} ${body.length}`,
    (error: Error) => error.message.replace(String(port), 'PORT'),
  );
}

describe('a call', () => {
  const head = `${HEAD}\r\n`;
  const fitting = head + 'a'.repeat(MAX_ANSWER_BYTES - head.length);
  const failure = (reason: string) =>
    `the call to 127.0.0.1:PORT failed: ${reason}`;

  test.each([
    ['takes an answer as large as the limit', fitting, true, '200 1005'],
    [
      'fails one byte above the limit',
      `${fitting}a`,
      false,
      failure('the answer is over 1024 bytes'),
    ],
    [
      'fails when the body does not end in time',
      fitting,
      false,
      failure('no whole answer within 200 ms'),
    ],
    [
      'fails when the head does not come in time',
      '',
      false,
      failure('no whole answer within 200 ms'),
    ],
    [
      'fails when the body is cut off',
      `${HEAD}content-length: 10\r\n\r\nabc`,
      true,
      failure('aborted'),
    ],
    [
      'fails when the connection ends without an answer',
      '',
      true,
      failure('socket hang up'),
    ],
    [
      'fails when the protocol is changed',
      'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n',
      false,
      failure('no whole answer within 200 ms'),
    ],
    [
      'takes the first of two answers that come together',
      `${HEAD}content-length: 1\r\n\r\na${HEAD}content-length: 2\r\n\r\nbb`,
      false,
      '200 1',
    ],
  ])('%s', async (_what, answer, ends, expected) => {
    expect(await callServer(answer, ends)).toBe(expected);
  });

  test('fails at once when the server refuses connections', async () => {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as net.AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const call = callOnNewConnection({
      address: ServerAddress.parse(`127.0.0.1:${port}`),
      method: 'GET',
      path: '/',
      timeoutMs: TIMEOUT_MS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    await expect(call).rejects.toThrow('ECONNREFUSED');
  });
});
