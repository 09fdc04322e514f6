/**
 * The monotonic clock does not advance while a machine is suspended. Entries send a
 * start-by time on the host's clock, so after a suspension of 5 s a host process
 * accepted an attempt whose start-by time had passed 4 s earlier.
 */
import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {HostServer} from '../../src/host/host_server';
import {connectPeer} from '../../src/protocol/connect_peer';
import {Message} from '../../src/protocol/message';
import {reservePort} from '../support/reserve_port';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

const SUSPENDED_MS = 5_000;
const START_WITHIN_MS = 1_000;

test('refuses an attempt whose start-by time passed during a suspension', async () => {
  const host = await HostServer.create({
    hostId: 'h1',
    zone: 'z',
    domain: 'd',
    host: '127.0.0.1',
    port: 0,
    announceHost: '127.0.0.1',
    announcePort: 0,
    control: [ServerAddress.parse(`127.0.0.1:${await reservePort()}`)],
    stopWithinMs: 1_000,
  });
  const identity = {program: 'entry', id: 'e1', incarnation: 'e'} as const;
  const peer = await connectPeer(
    ServerAddress.parse(`127.0.0.1:${host.port}`),
    identity,
  );
  const received: Message[] = [];
  void peer.messages.observe(message => received.push(message));
  const find = <T extends Message['type']>(type: T) =>
    received.find(
      (message): message is Extract<Message, {type: T}> =>
        message.type === type,
    );
  const {now, incarnation} = await waitUntil('its clock', () => find('clock'));

  const wake = suspend(SUSPENDED_MS);
  peer.send({
    type: 'dispatch',
    stream: 1,
    attemptId: 'r1.1',
    groupId: 'g',
    epoch: 1,
    incarnation,
    startBy: now + START_WITHIN_MS,
    credit: 1_000,
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
    isRepeatable: true,
    priority: 0,
  });
  const refused = await waitUntil('a refusal', () => find('refused'));
  expect(refused.reason).toBe('the request came after its start-by time');
  wake();
  peer.close();
  await host.close();
});
