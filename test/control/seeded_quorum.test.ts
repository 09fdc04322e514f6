import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {ChannelBundle} from '../../src/protocol/channel_bundle';
import {ControlClient} from '../../src/protocol/control_client';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

const CHANNEL = 'operators';
const ASK_MS = 10_000;
const LIMITS: GatewayRules['limits'] = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

function createBundle(version: number): ChannelBundle {
  const rules = {version, routes: [], pools: [], limits: LIMITS};
  return {channel: CHANNEL, source: `source of ${version}`, rules};
}

function createFolder(): string {
  return mkdtempSync(path.join(tmpdir(), 'whinreel-seeded-'));
}

/** Reserves the names of five control processes, of which the first three are the seeds. */
async function reserveNames(): Promise<string[]> {
  const ports = await Promise.all([1, 2, 3, 4, 5].map(() => reservePort()));
  return ports.map(port => `127.0.0.1:${port}`);
}

async function start(
  name: string,
  seeds: readonly string[],
  options: {
    isFirstStart?: boolean;
    folder?: string;
    voters?: number;
    minCopies?: number;
  } = {},
): Promise<ControlServer> {
  const {isFirstStart = true, folder = createFolder()} = options;
  const {voters = 5, minCopies = 3} = options;
  const [host, port] = name.split(':');
  const control = await ControlServer.create({
    name,
    host,
    port: Number(port),
    dataFolder: folder,
    peers: new Map(),
    trustedKeys: [],
    trustedChannels: [CHANNEL],
    leaseMs: 5_000,
    seeded: {seeds, isFirstStart, voters, minCopies},
  });
  closers.push(() => control.close());
  return control;
}

const ROUTE_WITH_UNKNOWN_POOL = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'safe' as const,
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 0,
  targets: [{pool: 'nowhere', weight: 1}],
  maxAttempts: 1,
  isAnonymous: true,
  isResumable: false,
};

function createClient(addresses: readonly string[]): ControlClient {
  const client = ControlClient.create({
    addresses: addresses.map(ServerAddress.parse),
    hedgeDelayMs: 500,
    identity: {program: 'operator', id: 'test', incarnation: 'i'},
  });
  closers.push(() => client.close());
  return client;
}

function rollOut(client: ControlClient, version: number, ms = ASK_MS) {
  const ask = {
    type: 'channel-bundle-ask' as const,
    bundle: createBundle(version),
  };
  return client.ask<'channel-bundle-ask'>(ask, ms);
}

async function readSource(client: ControlClient): Promise<string | null> {
  const ask = {type: 'source-ask' as const};
  return (await client.ask<'source-ask'>(ask, ASK_MS)).source;
}

describe('a quorum that grows from seeds', () => {
  test('admits processes that are not seeds, and every process serves requests', async () => {
    const names = await reserveNames();
    const seeds = names.slice(0, 3);
    await Promise.all(names.map(name => start(name, seeds)));
    const {version} = await rollOut(createClient(seeds), 4);

    expect(version).toBe(4);
    for (const name of names) {
      expect(await readSource(createClient([name]))).toBe('source of 4');
    }
  });

  test('acknowledges no bundle while too few disks would have it', async () => {
    const names = await reserveNames();
    const seeds = names.slice(0, 3);
    await Promise.all(seeds.map(name => start(name, seeds)));
    const client = createClient(seeds);
    await expect(rollOut(client, 4, 3_000)).rejects.toThrow(
      'no control leader answered',
    );
    await Promise.all(names.slice(3).map(name => start(name, seeds)));

    expect((await rollOut(client, 4)).version).toBe(4);
  });

  test('keeps acknowledged bundles after the loss of two disks and a restart of every process', async () => {
    const names = await reserveNames();
    const seeds = names.slice(0, 3);
    const folders = names.map(createFolder);
    const first = await Promise.all(
      names.map((name, at) => start(name, seeds, {folder: folders[at]})),
    );
    await rollOut(createClient(seeds), 4);
    await Promise.all(first.map(control => control.close()));
    // The first two seeds restart with empty disks.
    folders[0] = createFolder();
    folders[1] = createFolder();
    await Promise.all(
      names.map((name, at) =>
        start(name, seeds, {folder: folders[at], isFirstStart: false}),
      ),
    );

    expect(await readSource(createClient(seeds))).toBe('source of 4');
    expect((await rollOut(createClient(seeds), 5)).version).toBe(5);
  });

  test('replaces a lost process by one at a new address', async () => {
    const names = await reserveNames();
    const seeds = names.slice(0, 3);
    const all = await Promise.all(
      names
        .slice(0, 3)
        .map(name => start(name, seeds, {voters: 3, minCopies: 2})),
    );
    await rollOut(createClient(seeds), 4);
    await all[1].close();
    const isFirstStart = false;
    await start(names[3], seeds, {voters: 3, minCopies: 2, isFirstStart});
    await waitUntil('the new voter', async () => {
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
        isUrgent: false,
      };
      const client = createClient([names[0], names[2]]);
      const {control} = await client.ask<'gateway-ask'>(ask, ASK_MS);
      return control.includes(names[3]) && !control.includes(names[1]);
    });
    // Once a later entry is committed, a majority knows that the voter change is, too.
    await rollOut(createClient([names[0], names[2]]), 5);
    await all[0].close();

    expect(await readSource(createClient([names[2], names[3]]))).toBe(
      'source of 5',
    );
  });
});

describe('calls to the leader', () => {
  async function startOne(): Promise<{
    control: ControlServer;
    client: ControlClient;
    name: string;
  }> {
    const [name] = await reserveNames();
    const control = await start(name, [name], {voters: 1, minCopies: 1});
    return {control, client: createClient([name]), name};
  }

  function register(changes: Partial<BackendRegistration>) {
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
    return {type: 'registration-ask' as const, registration};
  }

  const gatewayAsk = {
    type: 'gateway-ask' as const,
    gatewayId: 'g',
    rulesVersion: 0,
    tableTag: '',
    stalled: [],
    answering: [],
    running: {i1: 2},
    pressed: [],
    hasServed: true,
    isUrgent: false,
  };

  async function rollOutPool(client: ControlClient): Promise<void> {
    const base = createBundle(1);
    const pools = [{name: 'p', maxConnections: 4}];
    const rules = {...base.rules, pools};
    await client.ask<'channel-bundle-ask'>(
      {type: 'channel-bundle-ask', bundle: {...base, rules}},
      ASK_MS,
    );
  }

  test('a gateway receives the backend servers, but no longer those that are leaving', async () => {
    const {client} = await startOne();
    await rollOutPool(client);
    await client.ask<'registration-ask'>(register({}), ASK_MS);
    const before = await client.ask<'gateway-ask'>(gatewayAsk, ASK_MS);
    expect(before.targets?.map(target => target.incarnation)).toEqual(['i1']);

    const leaving = register({isLeaving: true, sequence: 2});
    await client.ask<'registration-ask'>(leaving, ASK_MS);
    const after = await client.ask<'gateway-ask'>(gatewayAsk, ASK_MS);
    expect(after.targets).toEqual([]);
    expect(after.retired).toEqual(['i1']);
  });

  test('an urgent request of a gateway is answered at once', async () => {
    const {client} = await startOne();
    await rollOutPool(client);
    const {rulesVersion, tableTag} = await client.ask<'gateway-ask'>(
      gatewayAsk,
      ASK_MS,
    );
    const order: string[] = [];
    const asks = [false, true].map(async isUrgent => {
      await client.ask<'gateway-ask'>(
        {...gatewayAsk, rulesVersion, tableTag, isUrgent},
        ASK_MS,
      );
      order.push(isUrgent ? 'urgent' : 'held');
    });
    await Promise.all(asks);
    expect(order).toEqual(['urgent', 'held']);
  });

  test('a gateway receives backend servers that registered before the first rules', async () => {
    const {client} = await startOne();
    await client.ask<'registration-ask'>(register({}), ASK_MS);
    const early = await client.ask<'gateway-ask'>(gatewayAsk, ASK_MS);
    expect(early.targets).toEqual([]);
    await rollOutPool(client);
    const {tableTag} = early;
    const answer = await client.ask<'gateway-ask'>(
      {...gatewayAsk, tableTag},
      ASK_MS,
    );

    expect(answer.targets?.map(target => target.incarnation)).toEqual(['i1']);
  });

  test('an acknowledged departure survives a restart of the process', async () => {
    const [name] = await reserveNames();
    const folder = createFolder();
    const options = {voters: 1, minCopies: 1, folder};
    const first = await start(name, [name], options);
    const client = createClient([name]);
    await rollOutPool(client);
    const departure = {type: 'departure-ask' as const, name: 'i1'};
    await client.ask<'departure-ask'>(departure, ASK_MS);
    await first.close();
    await start(name, [name], options);
    // A registration that was sent before the departure arrives after it.
    await client.ask<'registration-ask'>(register({}), ASK_MS);
    const answer = await client.ask<'gateway-ask'>(gatewayAsk, ASK_MS);

    expect(answer.targets).toEqual([]);
  });

  test('a delayed registration does not overwrite a newer one', async () => {
    const {client} = await startOne();
    await rollOutPool(client);
    await client.ask<'registration-ask'>(
      register({sequence: 5, zone: 'new'}),
      ASK_MS,
    );
    await client.ask<'registration-ask'>(
      register({sequence: 4, zone: 'old'}),
      ASK_MS,
    );
    const {targets} = await client.ask<'gateway-ask'>(gatewayAsk, ASK_MS);

    expect(targets?.[0].zone).toBe('new');
  });

  test('a gateway receives the running requests of the other gateways, without its own', async () => {
    const {client} = await startOne();
    await client.ask<'gateway-ask'>(gatewayAsk, ASK_MS);
    const other = {...gatewayAsk, gatewayId: 'h', running: {i1: 3}};
    const answer = await client.ask<'gateway-ask'>(other, ASK_MS);

    expect(answer.runningElsewhere).toEqual({i1: 2});
    expect(answer.gateways).toBe(2);
  });

  test('a bundle of an untrusted channel is rejected', async () => {
    const {client} = await startOne();
    const untrusted = {...createBundle(1), channel: 'strangers'};
    const ask = {type: 'channel-bundle-ask' as const, bundle: untrusted};

    await expect(client.ask<'channel-bundle-ask'>(ask, 1_500)).rejects.toThrow(
      'no control leader answered',
    );
    expect(await readSource(client)).toBeNull();
  });

  test('control rejects rules whose routes name an unknown pool', async () => {
    const {client} = await startOne();
    const base = createBundle(1);
    const rules = {...base.rules, pools: [], routes: [ROUTE_WITH_UNKNOWN_POOL]};
    const ask = {
      type: 'channel-bundle-ask' as const,
      bundle: {...base, rules},
    };

    const answer = await client.ask<'channel-bundle-ask'>(ask, ASK_MS);
    expect(answer.version).toBe(0);
    expect(answer.reason).toBe('route r names the unknown pool "nowhere"');
    expect(await readSource(client)).toBeNull();
  });

  test('an older version is acknowledged and changes nothing', async () => {
    const {client} = await startOne();
    await rollOut(client, 4);
    const {version} = await rollOut(client, 3);

    expect(version).toBe(4);
    expect(await readSource(client)).toBe('source of 4');
  });
});
