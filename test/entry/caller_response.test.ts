import * as http from 'node:http';
import {AddressInfo, connect} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {afterEach, expect, test} from 'vitest';
import {CallerResponse} from '../../src/entry/caller_response';
import {ConnectionEnd} from '../../src/transport/connection_end';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(() => closers.splice(0).forEach(close => close()));

/** Returns the response to a caller that sends a request and never reads. */
async function respondToStalledReader(): Promise<http.ServerResponse> {
  let found: http.ServerResponse | undefined;
  const server = http.createServer((_, response) => (found = response));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
  closers.push(
    () => socket.destroy(),
    () => server.close(),
  );
  return waitUntil('the request', () => found);
}

test('many attempts and many chunks that wait for the socket to drain do not add listeners', async () => {
  const response = await respondToStalledReader();
  const before = response.listenerCount('close');
  const callerResponse = CallerResponse.create(response);
  callerResponse.start(200, {'content-type': 'text/event-stream'});
  let released = 0;
  for (let attempt = 0; attempt < 20; attempt += 1) {
    callerResponse.watchDisconnect(() => undefined);
    callerResponse.write(Buffer.alloc(1024 * 1024), () => (released += 1));
  }

  expect(response.listenerCount('close') - before).toBeLessThanOrEqual(2);
  expect(response.listenerCount('drain')).toBe(1);
  expect(released).toBe(0);
  response.destroy();
  await waitUntil('every chunk released', () => released === 20);
});

test('only the latest attempt is notified that the caller disconnected', async () => {
  const response = await respondToStalledReader();
  const callerResponse = CallerResponse.create(response);
  const notified: string[] = [];
  callerResponse.watchDisconnect(() => notified.push('first'));
  callerResponse.watchDisconnect(() => notified.push('second'));
  response.destroy();
  await waitUntil('the end', () => notified.length > 0);

  expect(notified).toEqual(['second']);
});

// Each piece was kept as an object of its own, with the buffer that it arrived in.
test('a body in pieces of one byte is held in less than 8 MB', async () => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const measure = () => {
    collectGarbage();
    const {heapUsed, external} = process.memoryUsage();
    return heapUsed + external;
  };
  const response = await respondToStalledReader();
  const callerResponse = CallerResponse.create(response);
  callerResponse.start(200, {});
  const before = measure();
  for (let size = 0; size < 1024 * 1024; size += 1) {
    callerResponse.write(Buffer.from('x'), () => undefined);
  }
  const held = measure() - before;
  callerResponse.finish();

  expect(held).toBeLessThan(8 * 1024 * 1024);
  expect(response.getHeader('content-length')).toBe(String(1024 * 1024));
});

// An orderly end is the end of a body without chunks, which HTTP/1.0 can't read.
test.each(['1.0', '1.1'])(
  'a caller of HTTP/%s does not take a large body that broke off for a whole one',
  async version => {
    const server = http.createServer((_, response) => {
      const callerResponse = CallerResponse.create(response);
      callerResponse.start(200, {});
      callerResponse.write(Buffer.alloc(2 * 1024 * 1024, 'x'), () =>
        callerResponse.fail({
          status: 502,
          title: 'failed',
          detail: 'the backend server broke off',
          outcome: 'failed',
        }),
      );
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    closers.push(
      () => socket.destroy(),
      () => server.close(),
    );
    const connectionEnd = ConnectionEnd.create(socket);
    let text = '';
    socket.on('data', bytes => (text += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    socket.write(`GET / HTTP/${version}\r\nhost: h\r\n\r\n`);
    await waitUntil('the end', () => socket.destroyed);

    const isWhole = text.includes('Transfer-Encoding: chunked')
      ? text.endsWith('0\r\n\r\n')
      : connectionEnd.findFault() === undefined;
    expect(isWhole).toBe(false);
  },
);

// The number of delivered events is the position at which another server goes on.
test.each([
  ['data: 1\n\ndata: 2\n\n', 2],
  ['data: 1\n\n\ndata: 2\n\n', 2],
  ['data: 1\n\n\n\ndata: 2\n\n\n', 2],
  ['\ndata: 1\n\n', 1],
  ['\n\ndata: 1\n\n', 1],
  ['data: 1\n\n: comment\n\ndata: 2\n\n', 2],
  ['event: a\ndata: 1\ndata\n\nevent: b\n\n', 1],
  ['data\n\ndatabase: 1\n\n', 1],
])('the events of %j are counted as %i', async (text, count) => {
  const response = await respondToStalledReader();
  const callerResponse = CallerResponse.create(response);
  callerResponse.start(200, {'content-type': 'text/event-stream'});
  callerResponse.write(Buffer.from(text), () => undefined);
  expect(callerResponse.deliveredEventCount).toBe(count);
  response.destroy();
});

// Only LF LF was counted: the next replica was asked for all events again, and the caller received them twice.
test.each(['\n', '\r\n', '\r'])(
  'the events that a caller has are counted when their lines end in %j',
  async lineEnd => {
    const response = await respondToStalledReader();
    const callerResponse = CallerResponse.create(response);
    callerResponse.start(200, {'content-type': 'text/event-stream'});
    const frames = ['data: a\n\ndata: b\n\n', '\n', ': c\ndata: d\n\n\n'];
    for (const frame of frames) {
      const bytes = Buffer.from(frame.replaceAll('\n', lineEnd));
      callerResponse.write(bytes, () => undefined);
    }
    expect(callerResponse.deliveredEventCount).toBe(3);
  },
);
