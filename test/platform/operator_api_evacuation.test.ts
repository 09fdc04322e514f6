/**
 * Guards against permanent refusals by mistake: an operator gives up on a 4xx, so only a
 * zone that is certainly unknown gets one.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {OperatorApi} from '../../platform/operator_api';
import {EventRing} from '../../src/common/event_ring';
import {systemClock} from '../../src/common/system_clock';
import {ThrottledEventLog} from '../../src/common/throttled_event_log';
import {ControlClient} from '../../src/protocol/control_client';

const closers: Array<() => unknown> = [];

afterEach(() => closers.splice(0).forEach(close => close()));

/** Starts an API whose leader gives this answer. */
async function startApi(answer: object | Error) {
  const asked: unknown[] = [];
  const client = {
    ask: async (ask: unknown) => {
      asked.push(ask);
      if (answer instanceof Error) {
        throw answer;
      }
      return {type: 'evacuation-answer', call: 1, reason: 'r', ...answer};
    },
  } as unknown as ControlClient;
  const lines = ThrottledEventLog.create(EventRing.create(), systemClock);
  const api = OperatorApi.create(client, lines);
  const server = http.createServer((request, response) =>
    api.handle(request, response),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  const call = async (method: string, zone: string) => {
    const url = `http://127.0.0.1:${port}/v1/evacuate/${zone}`;
    const response = await fetch(url, {method});
    return {status: response.status, body: await response.text()};
  };
  return {call, asked};
}

test.each([
  ['POST', true],
  ['DELETE', false],
])('an acknowledged %s is answered with 200 and {}', async (method, order) => {
  const {call, asked} = await startApi({isAccepted: true});
  expect(await call(method, 'zone%2Fa%20%C3%A9')).toEqual({
    status: 200,
    body: '{}',
  });
  expect(asked).toEqual([
    {
      type: 'evacuation-ask',
      zone: 'zone/a é',
      isEvacuated: order,
      channel: OperatorApi.channel,
    },
  ]);
});

test.each([
  ['is certainly unknown', {isAccepted: false, isUnknownZone: true}, 404],
  ['is refused otherwise', {isAccepted: false, isUnknownZone: false}, 503],
  ['finds no leader', new Error('no control leader answered'), 503],
])('an order for a zone that %s', async (_, answer, status) => {
  const {call} = await startApi(answer);
  expect(await call('POST', 'zone-a')).toMatchObject({status});
  expect(await call('DELETE', 'zone-a')).toMatchObject({status});
});

test.each([
  ['is empty', ''],
  ['is longer than any', 'z'.repeat(201)],
  ['is not percent-encoded correctly', '%E0%A4%A'],
])('a zone whose name %s is refused without a call', async (_, zone) => {
  const {call, asked} = await startApi({isAccepted: true});
  expect(await call('POST', zone)).toMatchObject({status: 400});
  expect(asked).toEqual([]);
});
