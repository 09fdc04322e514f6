/**
 * Guards against an error in the handling of one message that ends the whole control
 * process: the answer to a call is awaited by nobody, and an observer of messages throws
 * into the socket that received them. The next leader gets the same message.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, expect, test, vi} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {BackendRegistry} from '../../src/control/backend_registry';
import {ControlServer} from '../../src/control/control_server';
import {RateLimitService} from '../../src/control/rate_limit_service';
import {QuorumMember} from '../../src/control/quorum_member';
import {connectPeer} from '../../src/protocol/connect_peer';
import {ControlClient} from '../../src/protocol/control_client';
import {waitUntil} from '../support/wait_until';

const IDENTITY = {program: 'gateway', id: 'g', incarnation: 'i'} as const;
const FAULT = 'drawn fault';
const SETTLE_MS = 300;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  vi.restoreAllMocks();
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** What would have ended the process. */
function watchProcess(): string[] {
  const ends: string[] = [];
  const record = (error: Error) => ends.push(error.message);
  for (const event of ['uncaughtException', 'unhandledRejection'] as const) {
    const others = process.listeners(event as 'uncaughtException');
    process.removeAllListeners(event);
    process.on(event, record);
    closers.push(() => {
      process.removeAllListeners(event);
      others.forEach(each => process.on(event, each));
    });
  }
  return ends;
}

async function startControl() {
  const control = await ControlServer.create({
    name: 'a',
    host: '127.0.0.1',
    port: 0,
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-faults-')),
    peers: new Map(),
    trustedKeys: [],
    leaseMs: 5_000,
    pools: {heartbeatMs: 50, stallMs: 5_000},
  });
  closers.push(() => control.close());
  await waitUntil('the election', () => control.isLeading);
  const address = ServerAddress.parse(`127.0.0.1:${control.port}`);
  return {control, address};
}

test('an error in the handler of a call ends that call alone', async () => {
  const ends = watchProcess();
  const {address} = await startControl();
  vi.spyOn(RateLimitService.prototype, 'recordReports').mockImplementation(
    () => {
      throw new TypeError(FAULT);
    },
  );
  const client = ControlClient.create({
    addresses: [address],
    identity: IDENTITY,
  });
  closers.push(() => client.close());
  const asked = client.ask(
    {type: 'permit-ask', gatewayId: 'g'} as never,
    1_000,
  );
  await expect(asked).rejects.toThrow();
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));

  expect(ends).toEqual([]);
});

test('an error in the handling of a message of a peer closes its connection alone', async () => {
  const ends = watchProcess();
  const {address} = await startControl();
  vi.spyOn(QuorumMember.prototype, 'receive').mockImplementation(() => {
    throw new TypeError(FAULT);
  });
  const peer = await connectPeer(address, IDENTITY);
  closers.push(() => peer.close());
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  peer.send({type: 'formation-ask', identity: 'b/1'});
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));

  expect(ends).toEqual([]);
  expect(peer.isOpen).toBe(false);
});

test('an error in a round of the planner of groups ends that round alone', async () => {
  const ends = watchProcess();
  await startControl();
  vi.spyOn(BackendRegistry.prototype, 'expire').mockImplementation(() => {
    throw new TypeError(FAULT);
  });
  await new Promise(resolve => setTimeout(resolve, 4 * SETTLE_MS));

  expect(ends).toEqual([]);
});
