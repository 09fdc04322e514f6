/**
 * Guards against calls that are cut off by a shutdown, as gateway/planned_stop does
 * for requests: a stopping control process closed all connections at once, including
 * those of calls that it had already forwarded to the leader, so that the operator or
 * backend server could not know whether its call had been executed.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {OperatorApi} from '../../platform/operator_api';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {systemClock} from '../../src/common/system_clock';
import {ThrottledEventLog} from '../../src/common/throttled_event_log';
import {ControlClient} from '../../src/protocol/control_client';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts an API whose client finds no leader, so that each call runs into its timeout. */
async function startApi() {
  const client = ControlClient.create({
    addresses: [ServerAddress.parse(`127.0.0.1:${await reservePort()}`)],
    identity: {program: 'operator', id: 'test', incarnation: 'i'},
  });
  const api = OperatorApi.create(
    client,
    ThrottledEventLog.create(EventRing.create(), systemClock),
  );
  let calls = 0;
  const server = http.createServer((request, response) => {
    calls += 1;
    api.handle(request, response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(
    () => server.close(),
    () => client.close(),
  );
  const {port} = server.address() as net.AddressInfo;
  const read = () =>
    fetch(`http://127.0.0.1:${port}/v1/config`).then(async answer => ({
      status: answer.status,
      connection: answer.headers.get('connection'),
      body: await answer.text(),
    }));
  return {api, server, read, countCalls: () => calls};
}

test('a call that was read before a shutdown is answered before the process ends', async () => {
  const {api, server, read, countCalls} = await startApi();
  const called = read();
  await waitUntil('the call', () => countCalls() === 1);
  let isStopped = false;
  const stopped = api
    .drain(() => server.close())
    .then(() => (isStopped = true));
  const late = await read();

  expect(late).toMatchObject({status: 503, connection: 'close'});
  expect(late.body).toContain('stops');
  expect(isStopped).toBe(false);
  await stopped;
  const answer = await called;
  expect(answer).toMatchObject({status: 503});
  // The response to the call itself, not the refusal of a call that arrives during the shutdown.
  expect(answer.body).toContain('no control leader');
});

test('a call whose body never arrives does not block a shutdown', async () => {
  const {api, server, countCalls} = await startApi();
  const {port} = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  closers.push(() => socket.destroy());
  socket.on('error', () => undefined);
  socket.write(
    'PUT /v1/replicas/i-1 HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\n{',
  );
  await waitUntil('the call', () => countCalls() === 1);
  const end = await api.drain(() => server.close());

  // The call was given up: the shutdown did not wait for its body.
  expect(end).toEqual({givenUp: 1});
});
