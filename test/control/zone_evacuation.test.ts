/**
 * Guards against the loss of an acknowledged evacuation, with real control processes: by the
 * loss of two disks and all power, by a change of leader, and by an acknowledgement that is
 * lost, after which the order comes again at another process.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {ControlClient} from '../../src/protocol/control_client';
import {FleetStatus} from '../../src/protocol/fleet_status';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

const CHANNEL = 'operators';
const CALL_TIMEOUT_MS = 15_000;
const ACKNOWLEDGED_WITHIN_MS = 100;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

function createFolder(): string {
  return mkdtempSync(path.join(tmpdir(), 'whinreel-zones-'));
}

async function start(
  name: string,
  seeds: readonly string[],
  folder: string,
  isFirstStart = true,
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
    listZones: () => ['zone-a', 'zone-b', 'zone-c'],
    leaseMs: 5_000,
    seeded: {seeds, isFirstStart, voters: 5, minCopies: 3},
  });
  closers.push(() => control.close());
  return control;
}

async function startQuorum() {
  const ports = await Promise.all([1, 2, 3, 4, 5].map(() => reservePort()));
  const names = ports.map(port => `127.0.0.1:${port}`);
  const seeds = names.slice(0, 3);
  const folders = names.map(createFolder);
  const controls = await Promise.all(
    names.map((name, at) => start(name, seeds, folders[at])),
  );
  return {names, seeds, folders, controls};
}

function createClient(addresses: readonly string[]): ControlClient {
  const client = ControlClient.create({
    addresses: addresses.map(ServerAddress.parse),
    hedgeDelayMs: 400,
    identity: {program: 'operator', id: 'test', incarnation: 'i'},
  });
  closers.push(() => client.close());
  return client;
}

function order(client: ControlClient, zone: string, isEvacuated = true) {
  return client.ask<'evacuation-ask'>(
    {type: 'evacuation-ask', zone, isEvacuated, channel: CHANNEL},
    CALL_TIMEOUT_MS,
  );
}

async function listEvacuated(client: ControlClient): Promise<string[]> {
  const {status} = await client.ask<'status-ask'>(
    {type: 'status-ask'},
    CALL_TIMEOUT_MS,
  );
  const {evacuations} = FleetStatus.parse(status);
  return evacuations.map(({zone}) => zone).sort();
}

test('acknowledged orders survive the loss of two disks and all power', async () => {
  const {names, seeds, folders, controls} = await startQuorum();
  const client = createClient(seeds);
  await order(client, 'zone-a');
  await order(client, 'zone-b');
  await order(client, 'zone-c');
  await order(client, 'zone-b', false);
  await Promise.all(controls.map(control => control.close()));

  const wiped = folders.map((folder, at) => (at < 2 ? createFolder() : folder));
  await Promise.all(
    names.map((name, at) => start(name, seeds, wiped[at], false)),
  );
  expect(await listEvacuated(createClient(seeds))).toEqual([
    'zone-a',
    'zone-c',
  ]);
});

test('a new leader has the acknowledged orders and acknowledges them again, at any process', async () => {
  const {names, controls} = await startQuorum();
  await order(createClient(names), 'zone-a');
  const leader = controls.findIndex(control => control.isLeading);
  await controls[leader].close();
  const others = names.filter((_, at) => at !== leader);
  await waitUntil('another leader', () =>
    controls.some((control, at) => at !== leader && control.isLeading),
  );

  for (const name of others) {
    const client = createClient([name]);
    // The acknowledgement may have been lost, so the operator sends the order again.
    expect(await order(client, 'zone-a')).toMatchObject({isAccepted: true});
    expect(await listEvacuated(client)).toEqual(['zone-a']);
  }
});

test('an order is acknowledged within 100 ms in normal operation', async () => {
  const {names} = await startQuorum();
  const client = createClient(names);
  await order(client, 'zone-a');
  const tookMs: number[] = [];
  for (let at = 0; at < 20; at += 1) {
    const orderedAt = performance.now();
    await order(client, 'zone-b', at % 2 === 0);
    tookMs.push(performance.now() - orderedAt);
  }
  expect(Math.max(...tookMs)).toBeLessThan(ACKNOWLEDGED_WITHIN_MS);
});
