import * as http from 'node:http';
import {AddressInfo, connect} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {CallerResponse} from '../../src/entry/caller_response';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(() => closers.splice(0).forEach(close => close()));

/** The response to a caller that sends a request and reads nothing. */
async function respondToSilentReader(): Promise<http.ServerResponse> {
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

test('many attempts and many parts that wait for room add no more listeners', async () => {
  const response = await respondToSilentReader();
  const before = response.listenerCount('close');
  const answer = CallerResponse.create(response);
  answer.start(200, {'content-type': 'text/event-stream'});
  let released = 0;
  for (let attempt = 0; attempt < 20; attempt += 1) {
    answer.watchDisconnect(() => undefined);
    answer.write(Buffer.alloc(1024 * 1024), () => (released += 1));
  }

  expect(response.listenerCount('close') - before).toBeLessThanOrEqual(2);
  expect(response.listenerCount('drain')).toBe(1);
  expect(released).toBe(0);
  response.destroy();
  await waitUntil('every part released', () => released === 20);
});

test('of several attempts only the newest hears that the caller left', async () => {
  const response = await respondToSilentReader();
  const answer = CallerResponse.create(response);
  const told: string[] = [];
  answer.watchDisconnect(() => told.push('first'));
  answer.watchDisconnect(() => told.push('second'));
  response.destroy();
  await waitUntil('the end', () => told.length > 0);

  expect(told).toEqual(['second']);
});
