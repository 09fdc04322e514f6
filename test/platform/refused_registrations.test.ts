/** Guards against a refused registration whose sender cannot be found by the log. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {OperatorApi} from '../../platform/operator_api';
import {EventRing} from '../../src/common/event_ring';
import {ThrottledEventLog} from '../../src/common/throttled_event_log';
import {ControlClient} from '../../src/protocol/control_client';
import {pageExamples} from '../support/page_examples';

const closers: Array<() => unknown> = [];

afterEach(() => closers.splice(0).forEach(close => close()));

async function startApi() {
  const client = ControlClient.create({
    addresses: [],
    identity: {program: 'operator', id: 'test', incarnation: 'i'},
  });
  const events = EventRing.create();
  const clock = {time: 0, now: () => clock.time};
  const lines = ThrottledEventLog.create(events, clock);
  const api = OperatorApi.create(client, lines);
  const server = http.createServer((request, response) =>
    api.handle(request, response),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(
    () => client.close(),
    () => server.closeAllConnections(),
    () => server.close(),
  );
  const {port} = server.address() as AddressInfo;
  const register = async (id: string, body: string) => {
    const path = `/v1/replicas/${encodeURIComponent(id)}`;
    const url = `http://127.0.0.1:${port}${path}`;
    const answer = await fetch(url, {method: 'PUT', body});
    return {status: answer.status, text: await answer.text()};
  };
  const listRefusals = () =>
    events.listSince(0).filter(({type}) => type === 'call-refused');
  return {register, listRefusals, clock};
}

test('a refused registration is recorded with service, id and address', async () => {
  const {register, listRefusals} = await startApi();
  const body = {...pageExamples.registration, zone: 7};

  const {status, text} = await register('i-1', JSON.stringify(body));

  expect(status).toBe(400);
  expect(text).toContain('zone');
  expect(listRefusals()).toMatchObject([
    {
      id: '/v1/replicas/i-1',
      details: {service: 'huvo11a', address: '10.128.0.9:8080', status: 400},
    },
  ]);
  expect(listRefusals()[0].reason).toContain('zone');
});

test('a refused registration of an odd id is recorded with the id as it came', async () => {
  const {register, listRefusals} = await startApi();

  const {status} = await register(
    'a\nb',
    JSON.stringify(pageExamples.registration),
  );

  expect(status).toBe(400);
  expect(listRefusals()).toMatchObject([
    {id: '/v1/replicas/a%0Ab', details: {service: 'huvo11a'}},
  ]);
});

test('many refused registrations are recorded once a second, with their number', async () => {
  const {register, listRefusals, clock} = await startApi();
  for (let count = 0; count < 20; count += 1) {
    await register(`i-${count}`, '{}');
  }
  clock.time = 1_500;
  await register('i-20', '"none"');

  expect(listRefusals()).toHaveLength(2);
  expect(listRefusals()[1].details).toMatchObject({leftOut: 19});
});
