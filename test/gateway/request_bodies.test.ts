// Guards against refusals of bodies that callers cannot rely on: a 503 tells that the request did not run, and when to come back.
import * as http from 'node:http';
import * as net from 'node:net';
import {AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {GatewayRequest} from '../../src/gateway/gateway_request';
import {Refusal} from '../../src/gateway/refusal';
import {RequestBodies} from '../../src/gateway/request_bodies';
import {RequestLog} from '../../src/gateway/request_log';
import {ResponseWriter} from '../../src/gateway/responses/response_writer';
import {waitUntil} from '../support/wait_until';

const MIB = 1024 * 1024;
/** Less than the least that any process has for bodies. */
const MEMORY_BYTES = MIB;
const PART_BYTES = 9 * MIB;
const MAX_BYTES = 12 * MIB;

async function startServer() {
  const refusals: Array<[string, Refusal]> = [];
  const log = {
    recordRefusal: ({id}: GatewayRequest, refusal: Refusal) =>
      refusals.push([String(id), refusal]),
  } as unknown as RequestLog;
  const bodies = RequestBodies.create(MEMORY_BYTES, log);
  const server = http.createServer((message, response) => {
    const id = String(message.headers['request-id']);
    void bodies
      .receive({
        message,
        response,
        writer: ResponseWriter.create(response, 'request-id', () => false),
        request: {id} as GatewayRequest,
        maxBytes: MAX_BYTES,
      })
      .then(body => body && response.end(String(body.length)));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, refusals, port: (server.address() as AddressInfo).port};
}

function send(port: number, id: string, announced: number, sent: number) {
  const socket = net.connect(port, '127.0.0.1');
  const seen = {text: ''};
  socket.on('data', data => (seen.text += String(data)));
  socket.on('error', () => undefined);
  socket.write(
    `POST / HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}\r\ncontent-length: ${announced}\r\n\r\n`,
  );
  socket.write(Buffer.alloc(sent));
  return {socket, seen};
}

test('an unfinished body that gives way is refused as not run, with its id and a time to come back', async () => {
  const {server, refusals, port} = await startServer();
  const callers = ['a', 'b', 'c'].map(id =>
    send(port, id, MAX_BYTES, PART_BYTES),
  );
  await waitUntil('one gives way', () => refusals.length > 0);

  const [[id, refusal]] = refusals;
  const {seen} = callers['abc'.indexOf(id)];
  await waitUntil('it is told', () => seen.text.includes('memory'));
  expect(refusal).toMatchObject({status: 503, retryAfterMs: 500});
  expect(seen.text).toMatch(/^HTTP\/1.1 503 /);
  expect(seen.text).toContain(`request-id: ${id}\r\n`);
  expect(seen.text).toContain('retry-after: 0.500\r\n');
  callers.forEach(({socket}) => socket.destroy());
  server.close();
});

test('a body that is announced too long is refused for good, without a time to come back', async () => {
  const {server, refusals, port} = await startServer();
  const {socket, seen} = send(port, 'a', MAX_BYTES + 1, 0);
  await waitUntil('it is told', () => seen.text.includes('over'));
  expect(seen.text).toMatch(/^HTTP\/1.1 413 /);
  expect(seen.text).toContain('request-id: a\r\n');
  expect(seen.text).not.toContain('retry-after');
  expect(refusals).toMatchObject([['a', {status: 413}]]);
  socket.destroy();
  server.close();
});
