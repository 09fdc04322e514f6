/**
 * Guards against a table of the leader with malformed addresses, as one of the version
 * before sends it. The gateway connected to such a target out of a callback of the HTTP
 * library, threw there, and ended with all requests of all services.
 */
import * as http from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {GatewayServer} from '../../src/gateway/gateway_server';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTargetMessage} from '../../src/protocol/gateway_target_message';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';
import {FakeBackend} from '../support/fake_backend';
import {FakeLeader} from '../support/fake_leader';
import {plainDialect} from '../support/plain_dialect';
import {waitUntil} from '../support/wait_until';

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

function createRoute(pool: string): GatewayRules['routes'][number] {
  return {
    name: pool,
    host: pool,
    pathPrefix: '/',
    kind: 'safe',
    timeoutMs: 3_000,
    objectiveMs: 400,
    priority: 0,
    targets: [{pool, weight: 1}],
    maxAttempts: 3,
    isAnonymous: true,
    isResumable: false,
  };
}

const RULES: GatewayRules = {
  version: 1,
  routes: [createRoute('mixed'), createRoute('sound')],
  pools: [
    {name: 'mixed', maxConnections: 100},
    {name: 'sound', maxConnections: 100},
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 100_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

function createTarget(
  incarnation: string,
  pool: string,
  address: string,
): GatewayTargetMessage {
  return {incarnation, pool, address, zone: 'z', slots: 10};
}

async function startBackend(): Promise<FakeBackend> {
  const backend = await FakeBackend.create(({headers, socket}) => {
    const id = headers.get('request-id') ?? '';
    socket.write(
      `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`,
    );
  });
  closers.push(() => backend.close());
  return backend;
}

async function start(control: readonly string[] = []) {
  const backend = await startBackend();
  const leader = await FakeLeader.create(RULES, control);
  closers.push(() => leader.close());
  const gateway = await GatewayServer.create({
    gatewayId: 'g',
    zone: 'z',
    host: '127.0.0.1',
    port: 0,
    control: [ServerAddress.create('127.0.0.1', leader.port)],
    dialect: plainDialect,
    confirmationMs: 4_000,
    changesWithinMs: 2_000,
    retries: {ratio: 1, windowMs: 10_000, slack: 100},
    stopWithinMs: 8_000,
  });
  closers.push(() => gateway.close());
  let sent = 0;
  const call = (host: string) =>
    new Promise<number | undefined>((resolve, reject) => {
      sent += 1;
      http
        .get(
          {
            host: '127.0.0.1',
            port: gateway.port,
            headers: {host, 'request-id': `q${sent}`},
            agent: false,
          },
          response => {
            response.resume();
            response.on('end', () => resolve(response.statusCode));
          },
        )
        .on('error', reject);
    });
  const callOften = async (host: string) => {
    const statuses: Array<number | undefined> = [];
    for (let count = 0; count < 30; count += 1) {
      statuses.push(await call(host));
    }
    return [...new Set(statuses)];
  };
  const listLeftOut = () =>
    gateway.events
      .listSince(0)
      .filter(({type}) => type === 'target-left-out')
      .map(({id}) => id);
  return {backend, leader, gateway, call, callOften, listLeftOut};
}

function createMalformedTargets(port: number): GatewayTargetMessage[] {
  return listMalformedAddresses(port).map((address, at) =>
    createTarget(`bad-${at}`, 'mixed', address),
  );
}

describe('a gateway that gets targets with malformed addresses', () => {
  test('serves by the sound ones of the whole table', async () => {
    const {backend, leader, gateway, callOften, listLeftOut} = await start();
    const {address} = backend;
    const bad = createMalformedTargets(ServerAddress.parse(address).port);
    const long = 'a'.repeat(10_000);
    leader.setTable({
      targets: [
        createTarget('long', 'other', long),
        ...bad,
        createTarget('good-1', 'mixed', address),
        createTarget('good-2', 'sound', address),
      ],
      isWholeTable: true,
    });
    await waitUntil('a ready gateway', () => gateway.isReady);

    expect(await callOften('mixed')).toEqual([200]);
    expect(await callOften('sound')).toEqual([200]);
    expect(listLeftOut()).toEqual(['long', 'bad-0']);
    expect(gateway.events.listSince(0)).toContainEqual(
      expect.objectContaining({
        type: 'target-left-out',
        subject: 'host',
        id: 'long',
        reason: expect.stringContaining('is no address like'),
        details: {pool: 'other', address: 'a'.repeat(100)},
      }),
    );
  });

  test('takes the sound ones of a change, and one whose address is mended by a later change', async () => {
    const {backend, leader, gateway, call, callOften} = await start();
    const {address} = backend;
    const bad = createMalformedTargets(ServerAddress.parse(address).port);
    leader.setTable({
      targets: [createTarget('good', 'sound', address)],
      isWholeTable: true,
    });
    await waitUntil('a ready gateway', () => gateway.isReady);
    expect(await call('mixed')).toBe(503);

    leader.setTable({
      targets: [...bad, createTarget('late', 'mixed', address)],
      isWholeTable: false,
    });
    await waitUntil('a target', async () => (await call('mixed')) === 200);
    expect(await callOften('mixed')).toEqual([200]);
    expect(await callOften('sound')).toEqual([200]);

    const mended = await startBackend();
    leader.setTable({
      targets: [createTarget('bad-3', 'mixed', mended.address)],
      retired: ['late'],
      isWholeTable: false,
    });
    await waitUntil('a request to the mended one', async () => {
      await call('mixed');
      return mended.requests.length > 0;
    });
    const received = backend.requests.length;
    expect(await callOften('mixed')).toEqual([200]);
    expect(backend.requests.length).toBe(received);
  });

  test('no longer sends to a known target whose new address is malformed', async () => {
    const {backend, leader, gateway, call, callOften} = await start();
    const {address} = backend;
    leader.setTable({
      targets: [
        createTarget('moved', 'mixed', address),
        createTarget('good', 'sound', address),
      ],
      isWholeTable: true,
    });
    await waitUntil('a ready gateway', () => gateway.isReady);
    expect(await callOften('mixed')).toEqual([200]);

    leader.setTable({
      targets: [createTarget('moved', 'mixed', '127.0.0.1:65536')],
      isWholeTable: false,
    });
    await waitUntil(
      'a removed target',
      async () => (await call('mixed')) === 503,
    );
    expect(await callOften('sound')).toEqual([200]);
    const received = backend.requests.length;
    expect(await call('mixed')).toBe(503);
    expect(backend.requests.length).toBe(received);
  });
});

test('a gateway that is told malformed addresses of control processes goes on polling', async () => {
  const control = listMalformedAddresses(8_080);
  const {backend, leader, gateway, callOften} = await start(control);
  leader.setTable({
    targets: [createTarget('good', 'sound', backend.address)],
    isWholeTable: true,
  });
  await waitUntil('a ready gateway', () => gateway.isReady);
  leader.setTable({
    targets: [createTarget('late', 'mixed', backend.address)],
    isWholeTable: false,
  });
  await waitUntil(
    'a later target',
    async () => (await callOften('mixed'))[0] === 200,
  );

  expect(await callOften('sound')).toEqual([200]);
  expect(gateway.events.listSince(0)).toContainEqual(
    expect.objectContaining({
      type: 'control-address-left-out',
      subject: 'control',
      id: 'g',
      reason: expect.stringContaining(JSON.stringify(control[0])),
    }),
  );
});
