/**
 * Checks how a restarted backend server is told apart from its previous start, and
 * that an invalid registration is refused without effect on others.
 */
import {mkdtempSync} from 'node:fs';
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {platformHttpDialect} from '../../platform/platform_http_dialect';
import {decodeRegistration} from '../../platform/decode_registration';
import {engineClient} from '../../platform/engine_client';
import {engineIdentity} from '../../platform/engine_identity';
import {OperatorApi} from '../../platform/operator_api';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {systemClock} from '../../src/common/system_clock';
import {ThrottledEventLog} from '../../src/common/throttled_event_log';
import {ControlServer} from '../../src/control/control_server';
import {ControlClient} from '../../src/protocol/control_client';
import {reservePort} from '../support/reserve_port';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

const WIRE = {
  service: 'p',
  address: '10.0.0.1:80',
  zone: 'z',
  state: 'ready',
  sequence: 7,
  born: 1_000,
};

async function listen(handle: http.RequestListener): Promise<string> {
  const server = http.createServer(handle);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('an incarnation', () => {
  test.each([
    ['i-1', 1_000],
    ['i-1', undefined],
    ['i@1', undefined],
    ['i@1', 5],
  ])('of %s born %s yields the id', (id, born) => {
    const incarnation = engineIdentity.format(id, born);
    expect(engineIdentity.getId(incarnation)).toBe(id);
  });

  test('differs for each time of the start', () => {
    const decode = (born?: number) =>
      decodeRegistration('i-1', JSON.stringify({...WIRE, born}));
    expect(decode(1_000).incarnation).not.toBe(decode(2_000).incarnation);
    expect(decode(1_000)).toMatchObject({name: 'i-1', startedAt: 1_000});
    expect(decode().incarnation).toBe('i-1');
  });

  test('is sent to the backend server as its id alone', () => {
    const request = {
      id: 'q',
      host: 'h',
      method: 'GET',
      path: '/',
      promptTokens: 0,
      forwardedHeaders: [],
    };
    const incarnation = engineIdentity.format('i-1', 1_000);
    expect(platformHttpDialect.createHeaders(request, {incarnation})).toEqual([
      'x-whinreel-expect-instance',
      'i-1',
    ]);
  });
});

describe('an engine that has restarted under the same id', () => {
  async function startEngine(born: number) {
    const orders: string[] = [];
    const address = await listen((request, response) => {
      let body = '';
      request.on('data', chunk => (body += String(chunk)));
      request.on('end', () => {
        if (request.method === 'POST') {
          orders.push(body);
          response.writeHead(202).end();
        } else {
          response.end(JSON.stringify({sequence: 0, born}));
        }
      });
    });
    return {address, orders};
  }

  const createCall = (address: string) => ({
    incarnation: 'i-1@1000',
    address: ServerAddress.parse(address),
    fence: 3,
    ordersTaken: 0,
    order: {
      kind: 'join' as const,
      group: {name: 'g', epoch: 4},
      model: 'm',
      members: ['i-1@1000', 'i-2@900'],
    },
  });

  test('gets no order for its previous incarnation, and a probe of that one fails', async () => {
    const {address, orders} = await startEngine(2_000);
    const answer = await engineClient.send(createCall(address));
    expect(answer).toEqual({outcome: 'unfit'});
    expect(orders).toEqual([]);
    expect(
      await engineClient.probe(ServerAddress.parse(address), 'i-1@1000'),
    ).toBe(false);
    expect(
      await engineClient.probe(ServerAddress.parse(address), 'i-1@2000'),
    ).toBe(true);
  });

  test('gets orders that name members by their ids', async () => {
    const {address, orders} = await startEngine(1_000);
    await engineClient.send(createCall(address));
    expect(JSON.parse(orders[0])).toMatchObject({members: ['i-1', 'i-2']});
  });
});

describe('an invalid registration from a backend server', () => {
  const CONFIGURATION = {
    version: 1,
    routes: [],
    services: [{name: 'p', max_connections: 10}],
    limits: {
      max_header_bytes: 1_000,
      max_body_bytes: 1_000,
      header_timeout_ms: 1_000,
      idle_timeout_ms: 1_000,
    },
  };

  async function startControl() {
    const name = `127.0.0.1:${await reservePort()}`;
    const [host, port] = name.split(':');
    const control = await ControlServer.create({
      name,
      host,
      port: Number(port),
      dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-writer-')),
      peers: new Map(),
      trustedKeys: [],
      trustedChannels: [OperatorApi.channel],
      leaseMs: 5_000,
      seeded: {seeds: [name], isFirstStart: true, voters: 1, minCopies: 1},
    });
    closers.push(() => control.close());
    const client = ControlClient.create({
      addresses: [ServerAddress.parse(name)],
      identity: {program: 'operator', id: 'test', incarnation: 'i'},
    });
    closers.push(() => client.close());
    const events = EventRing.create();
    const api = OperatorApi.create(
      client,
      ThrottledEventLog.create(events, systemClock),
    );
    const address = await listen((request, response) =>
      api.handle(request, response),
    );
    return {control, client, events, address};
  }

  async function put(address: string, where: string, body: string | Buffer) {
    const url = `http://${address}${where}`;
    // Status 503 means that the control process has no leader yet.
    for (;;) {
      const answer = await fetch(url, {method: 'PUT', body});
      await answer.text();
      if (answer.status !== 503) {
        return answer.status;
      }
    }
  }

  test('is refused with a recorded event, and changes nothing for other backend servers', async () => {
    const {control, client, events, address} = await startControl();
    const register = (id: string, body: string | Buffer) =>
      put(address, `/v1/replicas/${id}`, body);
    const change = (changes: object) => JSON.stringify({...WIRE, ...changes});
    expect(
      await put(address, '/v1/config', JSON.stringify(CONFIGURATION)),
    ).toBe(200);
    expect(await register('i-1', change({}))).toBe(200);

    const statuses = [
      await register('i-1', change({born: '2000'})),
      await register('i-1', change({born: 2_000.5})),
      await register('i-1', change({born: undefined})),
      await register('i-1', change({sequence: undefined})),
      await register('i-1', change({state: 'asleep'})),
      await register('i-2', change({service: 'unknown', born: 2_000})),
      await register('i-1', change({zone: 7})),
      await register('i-1', change({address: '127.0.0.1:65536'})),
      await register('i-1', change({address: '127.1:80'})),
      await register('i-1', '{"service":'),
      await register('i-1', Buffer.from([0x22, 0xff, 0xfe, 0x22])),
      await register('%ff', change({})),
      await register('x'.repeat(300), change({})),
      await register(
        'i-1',
        change({group: {name: 'g', epoch: 1, rank: -1, state: 'ready'}}),
      ),
    ];

    expect(statuses).toEqual(statuses.map(() => 400));
    const ask = {
      type: 'gateway-ask' as const,
      gatewayId: 'g',
      rulesVersion: 0,
      tableTag: '',
      stalled: [],
      answering: [],
      running: {},
      pressed: [],
      hasServed: false,
      isUrgent: true,
    };
    const {targets} = await client.ask<'gateway-ask'>(ask, 5_000);
    expect(targets?.map(({incarnation}) => incarnation)).toEqual(['i-1@1000']);
    const types = [...events.listSince(0), ...control.events.listSince(0)].map(
      ({type}) => type,
    );
    expect(types).toContain('call-refused');
    expect(types).toContain('registration-refused');
  });
});
