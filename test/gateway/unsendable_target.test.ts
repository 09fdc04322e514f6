/**
 * Guards against a backend server that costs others their requests: the leader of the
 * version before takes any id, and one that no header can hold makes every request to
 * that server fail before it is written. Such a server looks idle, so that it is chosen
 * before those that serve.
 */
import * as http from 'node:http';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {GatewayServer} from '../../src/gateway/gateway_server';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {FakeBackend} from '../support/fake_backend';
import {FakeLeader} from '../support/fake_leader';
import {plainDialect} from '../support/plain_dialect';
import {waitUntil} from '../support/wait_until';

const REQUESTS = 40;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

const RULES: GatewayRules = {
  version: 1,
  routes: [
    {
      name: 'r',
      host: 'mixed',
      pathPrefix: '/',
      kind: 'safe',
      timeoutMs: 3_000,
      objectiveMs: 400,
      priority: 0,
      targets: [{pool: 'mixed', weight: 1}],
      maxAttempts: 3,
      isAnonymous: true,
      isResumable: false,
    },
  ],
  pools: [{name: 'mixed', maxConnections: 100}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 100_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

test('a target whose id no header can hold costs no request that another can serve', async () => {
  const backend = await FakeBackend.create(({headers, socket}) => {
    const id = headers.get('request-id') ?? '';
    socket.write(
      `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`,
    );
  });
  closers.push(() => backend.close());
  const leader = await FakeLeader.create(RULES);
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
  const {address} = backend;
  const shared = {pool: 'mixed', address, zone: 'z', slots: 10};
  leader.setTable({
    targets: [
      {incarnation: 'sound', ...shared},
      {incarnation: 'a\nb☃', ...shared},
    ],
    isWholeTable: true,
  });
  await waitUntil('a ready gateway', () => gateway.isReady);
  const statuses: Record<string, number> = {};
  for (let count = 0; count < REQUESTS; count += 1) {
    const status = await new Promise<number | undefined>((resolve, reject) => {
      http
        .get(
          {
            host: '127.0.0.1',
            port: gateway.port,
            headers: {host: 'mixed', 'request-id': `q${count}`},
            agent: false,
          },
          response => {
            response.resume();
            response.on('end', () => resolve(response.statusCode));
          },
        )
        .on('error', reject);
    });
    statuses[String(status)] = (statuses[String(status)] ?? 0) + 1;
  }

  expect(statuses).toEqual({200: REQUESTS});
});
