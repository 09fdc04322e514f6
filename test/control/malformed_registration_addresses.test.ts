/**
 * A control process of the version before passes a registration on with any text as
 * its address. The leader must not put it into the table, whose gateways would
 * connect to it.
 */
import {afterEach, expect, test} from 'vitest';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {ControlClient} from '../../src/protocol/control_client';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';
import {reservePort} from '../support/reserve_port';

const CHANNEL = 'operators';
const ASK_MS = 10_000;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function startLeader() {
  const address = ServerAddress.create('127.0.0.1', await reservePort());
  const name = address.toString();
  const control = await ControlServer.create({
    name,
    host: address.host,
    port: address.port,
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-leader-')),
    peers: new Map(),
    trustedKeys: [],
    trustedChannels: [CHANNEL],
    leaseMs: 5_000,
    seeded: {seeds: [name], isFirstStart: true, voters: 1, minCopies: 1},
  });
  closers.push(() => control.close());
  const client = ControlClient.create({
    addresses: [address],
    identity: {program: 'operator', id: 'test', incarnation: 'i'},
  });
  closers.push(() => client.close());
  const rules = {
    version: 1,
    routes: [],
    pools: [{name: 'p', maxConnections: 4}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
  const bundle = {channel: CHANNEL, source: 'source', rules};
  await client.ask<'channel-bundle-ask'>(
    {type: 'channel-bundle-ask', bundle},
    ASK_MS,
  );
  const register = async (changes: Partial<BackendRegistration>) => {
    const registration = {
      incarnation: 'i1',
      pool: 'p',
      address: '127.0.0.1:9',
      zone: 'z',
      isLeaving: false,
      sequence: 1,
      slots: 4,
      stagedModels: [],
      ...changes,
    };
    const answer = await client.ask<'registration-ask'>(
      {type: 'registration-ask', registration},
      ASK_MS,
    );
    return answer.refusal;
  };
  const listTargets = async () => {
    const {targets = []} = await client.ask<'gateway-ask'>(
      {
        type: 'gateway-ask',
        gatewayId: 'g',
        rulesVersion: 0,
        tableTag: '',
        stalled: [],
        answering: [],
        running: {},
        pressed: [],
        hasServed: false,
        isUrgent: true,
      },
      ASK_MS,
    );
    return targets.map(target => `${target.incarnation} ${target.address}`);
  };
  return {control, register, listTargets};
}

test('the leader refuses a registration with a malformed address, which changes nothing', async () => {
  const {control, register, listTargets} = await startLeader();
  expect(await register({})).toBeUndefined();

  const addresses = [...listMalformedAddresses(8_080), 'a'.repeat(10_000)];
  for (const [at, address] of addresses.entries()) {
    const refusal = await register({incarnation: `bad-${at}`, address});
    expect(refusal).toContain('address: ');
    expect(refusal).toContain(JSON.stringify(address.slice(0, 100)));
  }
  // Neither does one of a backend server that is known with a sound address.
  expect(
    await register({sequence: 2, address: '127.1:9', isLeaving: true}),
  ).toContain('address: ');

  expect(await listTargets()).toEqual(['i1 127.0.0.1:9']);
  const refused = control.events
    .listSince(0)
    .filter(({type}) => type === 'registration-refused');
  expect(refused[0]).toMatchObject({
    subject: 'host',
    id: 'bad-0',
    details: {pool: 'p', address: addresses[0]},
  });
});

test('two spellings of an address are one backend server', async () => {
  const {register, listTargets} = await startLeader();
  await register({incarnation: 'i1', address: '[::FFFF:127.0.0.1]:9'});
  expect(await listTargets()).toEqual(['i1 [::ffff:7f00:1]:9']);

  await register({
    incarnation: 'i2',
    address: '[::ffff:7f00:1]:9',
    sequence: 2,
  });
  expect(await listTargets()).toEqual(['i2 [::ffff:7f00:1]:9']);
});
