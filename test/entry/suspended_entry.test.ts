/**
 * The monotonic clock does not advance while a machine is suspended. An entry that had
 * lost control and was suspended for 6 s still accepted requests under a bundle whose
 * lease ends 5 s after control last confirmed it.
 */
import {generateKeyPairSync} from 'node:crypto';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {EntryServer} from '../../src/entry/entry_server';
import {reservePort} from '../support/reserve_port';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

const LEASE_MS = 5_000;
const SUSPENDED_MS = 6_000;

test('an entry is not ready after a suspension that outlasted its bundle lease', async () => {
  const address = `127.0.0.1:${await reservePort()}`;
  const [host, port] = address.split(':');
  const control = await ControlServer.create({
    name: address,
    host,
    port: Number(port),
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-entry-lease-')),
    peers: new Map(),
    trustedKeys: [generateKeyPairSync('ed25519').publicKey],
    leaseMs: LEASE_MS,
    seeded: {seeds: [address], isFirstStart: true, voters: 1, minCopies: 1},
  });
  const entry = await EntryServer.create({
    entryId: 'e1',
    zone: 'z',
    host: '127.0.0.1',
    port: 0,
    control: [ServerAddress.parse(address)],
    stopWithinMs: 1_000,
  });
  const getHealthStatus = async () =>
    (await fetch(`http://127.0.0.1:${entry.port}/healthz`)).status;
  await waitUntil(
    'a bundle lease',
    async () => (await getHealthStatus()) === 200,
  );
  await control.close();
  expect(await getHealthStatus()).toBe(200);

  const wake = suspend(SUSPENDED_MS);
  expect(await getHealthStatus()).toBe(503);
  wake();
  await entry.close();
});
