/** Control processes whose settings say only a part of what they should about the quorum. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {ControlClient} from '../../src/protocol/control_client';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

type SeededQuorum = NonNullable<
  Parameters<typeof ControlServer.create>[0]['seeded']
>;

const CHANNEL = 'operators';
const ASK_MS = 10_000;
const SIZES = {voters: 3, minCopies: 2};
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

function createFolder(): string {
  return mkdtempSync(path.join(tmpdir(), 'whinreel-partly-known-'));
}

async function reserveNames(count: number): Promise<string[]> {
  const ports = await Promise.all(Array.from({length: count}, reservePort));
  return ports.map(port => `127.0.0.1:${port}`);
}

async function start(
  name: string,
  seeded: SeededQuorum,
  folder = createFolder(),
): Promise<ControlServer> {
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
    seeded,
  });
  closers.push(() => control.close());
  return control;
}

function createClient(addresses: readonly string[]): ControlClient {
  const client = ControlClient.create({
    addresses: addresses.map(each => ServerAddress.parse(each)),
    hedgeDelayMs: 500,
    identity: {program: 'operator', id: 'test', incarnation: 'i'},
  });
  closers.push(() => client.close());
  return client;
}

async function rollOut(client: ControlClient, version: number, ms = ASK_MS) {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  const rules = {version, routes: [], pools: [], limits};
  const bundle = {channel: CHANNEL, source: `source of ${version}`, rules};
  const ask = {type: 'channel-bundle-ask' as const, bundle};
  return (await client.ask<'channel-bundle-ask'>(ask, ms)).version;
}

async function readSource(client: ControlClient): Promise<string | null> {
  const ask = {type: 'source-ask' as const};
  return (await client.ask<'source-ask'>(ask, ASK_MS)).source;
}

function listAddresses(control: ControlServer): string[] {
  return control.listControlAddresses().map(String);
}

describe('a control process', () => {
  // It would count one copy as enough, and the loss of one disk could undo what it acknowledged.
  test('acknowledges no change before it knows how many failures the quorum must tolerate', async () => {
    const [name] = await reserveNames(1);
    const seeded: {-readonly [Key in keyof SeededQuorum]: SeededQuorum[Key]} = {
      seeds: [name],
      isFirstStart: true,
      voters: undefined,
      minCopies: undefined,
    };
    const control = await start(name, seeded);
    const client = createClient([name]);
    await waitUntil('a leader', () => control.isLeading);
    await expect(rollOut(client, 4, 1_500)).rejects.toThrow(
      'no control leader answered',
    );
    seeded.voters = 1;
    seeded.minCopies = 1;

    expect(await rollOut(client, 4)).toBe(4);
  });

  test('that gets its first seeds while it runs joins the quorum', async () => {
    const names = await reserveNames(4);
    const seeds = names.slice(0, 3);
    const sizes = {voters: 4, minCopies: 2};
    await Promise.all(
      seeds.map(name => start(name, {...sizes, seeds, isFirstStart: true})),
    );
    const late = await start(names[3], {
      ...sizes,
      seeds: [],
      isFirstStart: false,
    });
    expect(listAddresses(late)).toEqual([]);
    late.addSeeds([names[1]]);
    expect(listAddresses(late)).toEqual([names[1]]);
    await waitUntil('the new voter', () =>
      listAddresses(late).includes(names[3]),
    );

    expect(await rollOut(createClient([names[3]]), 4)).toBe(4);
  });

  test('without seeds finds the others through the peers that its disk names', async () => {
    const names = await reserveNames(3);
    const folders = names.map(createFolder);
    const first = await Promise.all(
      names.map((name, at) =>
        start(name, {...SIZES, seeds: names, isFirstStart: true}, folders[at]),
      ),
    );
    await rollOut(createClient(names), 4);
    await Promise.all(first.map(control => control.close()));
    await Promise.all(
      names.map((name, at) =>
        start(name, {...SIZES, seeds: [], isFirstStart: false}, folders[at]),
      ),
    );

    expect(await readSource(createClient(names))).toBe('source of 4');
    expect(await rollOut(createClient(names), 5)).toBe(5);
  });
});
