import {generateKeyPairSync} from 'node:crypto';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {OperatorClient} from '../../src/operator/operator_client';
import {TextReporter} from '../../src/operator/text_reporter';
import {ControlClient} from '../../src/protocol/control_client';
import {reservePort} from '../support/reserve_port';
import {waitUntil} from '../support/wait_until';

const REQUEST_NAME = '0123456789abcdef';
const CALL_TIMEOUT_MS = 10_000;
const cleanups: Array<() => unknown> = [];

afterEach(async () => {
  for (const cleanUp of cleanups.splice(0).reverse()) {
    await cleanUp();
  }
});

/** Starts one control process that has convicted a request after three crashes. */
async function start() {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  const address = `127.0.0.1:${await reservePort()}`;
  const [host, port] = address.split(':');
  const control = await ControlServer.create({
    name: address,
    host,
    port: Number(port),
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-suspects-')),
    peers: new Map(),
    trustedKeys: [publicKey],
    leaseMs: 5_000,
    seeded: {seeds: [address], isFirstStart: true, voters: 1, minCopies: 1},
  });
  cleanups.push(() => control.close());
  await waitUntil('a leader', () => control.isLeading);
  const gateway = ControlClient.create({
    addresses: [ServerAddress.parse(address)],
    identity: {program: 'gateway', id: 'g', incarnation: 'i'},
  });
  cleanups.push(() => gateway.close());
  const createCrash = (incarnation: string) => {
    return {incarnation, notBegun: [REQUEST_NAME], begun: []};
  };
  await gateway.ask<'ends-ask'>(
    {
      type: 'ends-ask',
      gatewayId: 'g',
      crashes: ['i1', 'i2', 'i3'].map(createCrash),
      released: [],
      cleared: [],
    },
    CALL_TIMEOUT_MS,
  );
  const operator = OperatorClient.create({
    addresses: [ServerAddress.parse(address)],
    timeoutMs: CALL_TIMEOUT_MS,
  });
  cleanups.push(() => operator.close());
  return {operator, privateKey};
}

test('an operator can list suspect requests and read why they are suspected', async () => {
  const {operator} = await start();
  const suspects = await operator.listSuspects();
  expect(suspects).toMatchObject([{name: REQUEST_NAME, standing: 'convicted'}]);

  const lines: string[] = [];
  TextReporter.create(text => lines.push(text)).report({
    type: 'suspects',
    suspects,
  });
  expect(lines.join('')).toMatch(
    /^REQUEST OR PART +STANDING +LAST END +ENDED UNDER IT\n0123456789abcdef +convicted +20\S+ +i1 i2 i3\n$/,
  );
  const journal = await operator.readJournal({
    subject: 'request',
    id: REQUEST_NAME,
    after: 0,
  });
  expect(journal).toMatchObject([{type: 'request-convicted'}]);
});

test('a verdict is revoked with a trusted key only', async () => {
  const {operator, privateKey} = await start();
  const untrustedKey = generateKeyPairSync('ed25519').privateKey;
  expect(
    await operator.revokeVerdict(REQUEST_NAME, untrustedKey),
  ).toMatchObject({
    isAccepted: false,
  });
  expect(await operator.listSuspects()).toHaveLength(1);

  expect(await operator.revokeVerdict(REQUEST_NAME, privateKey)).toMatchObject({
    isAccepted: true,
  });
  expect(await operator.listSuspects()).toEqual([]);
  expect(await operator.revokeVerdict(REQUEST_NAME, privateKey)).toMatchObject({
    isAccepted: false,
    reason: 'no such verdict',
  });
});
