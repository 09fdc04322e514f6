/** Guards against an order that is acknowledged without effect, and one that an operator cannot look up. */
import {generateKeyPairSync} from 'node:crypto';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {OperatorClient} from '../../src/operator/operator_client';
import {TextReporter} from '../../src/operator/text_reporter';
import {computeKeyId} from '../../src/protocol/compute_key_id';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

const cleanups: Array<() => unknown> = [];

afterEach(async () => {
  for (const cleanUp of cleanups.splice(0).reverse()) {
    await cleanUp();
  }
});

async function start() {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  const address = `127.0.0.1:${await reservePort()}`;
  const [host, port] = address.split(':');
  const control = await ControlServer.create({
    name: address,
    host,
    port: Number(port),
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-evacuation-')),
    peers: new Map(),
    trustedKeys: [publicKey],
    listZones: () => ['zone-a', 'zone-b'],
    leaseMs: 5_000,
    seeded: {seeds: [address], isFirstStart: true, voters: 1, minCopies: 1},
  });
  cleanups.push(() => control.close());
  await waitUntil('a leader', () => control.isLeading);
  const operator = OperatorClient.create({
    addresses: [ServerAddress.parse(address)],
    timeoutMs: 10_000,
  });
  cleanups.push(() => operator.close());
  return {operator, privateKey, keyId: computeKeyId(publicKey)};
}

test('a signed order evacuates a zone, which status and explain show until it is restored', async () => {
  const {operator, privateKey, keyId} = await start();
  expect(
    await operator.setEvacuation('zone-a', true, privateKey),
  ).toMatchObject({isAccepted: true});

  const status = await operator.readStatus();
  expect(status.evacuations).toMatchObject([
    {zone: 'zone-a', requestedBy: keyId},
  ]);
  const lines: string[] = [];
  const reporter = TextReporter.create(text => lines.push(text));
  reporter.report({type: 'status', status});
  expect(lines.join('')).toMatch(
    new RegExp(`evacuated zone-a, ordered by ${keyId} at 20\\S+Z\n`),
  );

  await operator.setEvacuation('zone-a', false, privateKey);
  expect((await operator.readStatus()).evacuations).toEqual([]);
  const entries = await operator.readJournal({
    subject: 'zone',
    id: 'zone-a',
    after: 0,
  });
  expect(entries.map(({type}) => type)).toEqual([
    'zone-evacuated',
    'zone-restored',
  ]);
});

test('an order with a key that is not trusted, or for an unknown zone, is refused', async () => {
  const {operator, privateKey} = await start();
  const other = generateKeyPairSync('ed25519').privateKey;
  expect(await operator.setEvacuation('zone-a', true, other)).toMatchObject({
    isAccepted: false,
    isUnknownZone: false,
  });
  expect(
    await operator.setEvacuation('zone-x', true, privateKey),
  ).toMatchObject({isAccepted: false, isUnknownZone: true});
  expect((await operator.readStatus()).evacuations).toEqual([]);
});
