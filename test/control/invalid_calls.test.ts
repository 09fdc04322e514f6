/**
 * Guards against one call with an invalid field, or a too long one, that costs the
 * other calls of its connection, or the process that sends it.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {afterEach, describe, expect, test, vi} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlServer} from '../../src/control/control_server';
import {RegistrationService} from '../../src/control/registration_service';
import {connectPeer} from '../../src/protocol/connect_peer';
import {ControlClient} from '../../src/protocol/control_client';
import {Message} from '../../src/protocol/message';
import {FrameConnection} from '../../src/transport/frame_connection';
import {TransportError} from '../../src/transport/transport_error';
import {waitUntil} from '../support/wait_until';

const IDENTITY = {program: 'gateway', id: 'g', incarnation: 'i'} as const;
const LONG_TEXT = 'x'.repeat(40 * 1024 * 1024);
const REPORT = {
  type: 'gateway-ask' as const,
  gatewayId: 'g',
  rulesVersion: 0,
  tableTag: '',
  stalled: [],
  answering: [],
  running: {},
  pressed: [],
  hasServed: false,
  isUrgent: true,
};
const DEMAND = {
  requestsPerSecond: 1,
  promptTokensPerSecond: Infinity,
  answerTokensPerSecond: 1,
};
const REGISTRATION = {
  incarnation: 'i',
  pool: 'p',
  address: '127.0.0.1:80',
  zone: 'z',
  isLeaving: false,
  sequence: 1,
  slots: 1,
  stagedModels: [],
};
const closers: Array<() => unknown> = [];

afterEach(async () => {
  vi.restoreAllMocks();
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function startControl() {
  const control = await ControlServer.create({
    name: 'a',
    host: '127.0.0.1',
    port: 0,
    dataFolder: mkdtempSync(path.join(tmpdir(), 'whinreel-calls-')),
    peers: new Map(),
    trustedKeys: [],
    leaseMs: 5_000,
  });
  closers.push(() => control.close());
  const listEvents = (type: string) =>
    control.events.listSince(0).filter(event => event.type === type);
  await waitUntil('the election', () => control.isLeading);
  const address = ServerAddress.parse(`127.0.0.1:${control.port}`);
  return {address, listEvents};
}

function createClient(address: ServerAddress): ControlClient {
  const client = ControlClient.create({
    addresses: [address],
    identity: IDENTITY,
  });
  closers.push(() => client.close());
  return client;
}

describe('a call that its receiver cannot decode', () => {
  test('is answered with the field, and the other calls of its connection are served', async () => {
    const {address, listEvents} = await startControl();
    const peer = await connectPeer(address, IDENTITY);
    closers.push(() => peer.close());
    const received: Message[] = [];
    void peer.messages.observe(message => received.push(message));

    peer.send({...REPORT, call: 1, demand: {m: DEMAND}});
    peer.send({type: 'leader-ask', call: 2});
    await waitUntil('both answers', () => received.length === 2);

    expect(received).toContainEqual({type: 'leader-answer', call: 2});
    const [invalid] = received.filter(({type}) => type === 'invalid-call');
    expect(invalid).toMatchObject({
      call: 1,
      reason: expect.stringContaining('demand.m.promptTokensPerSecond'),
    });
    expect(peer.isOpen).toBe(true);
    expect(listEvents('call-invalid')).toMatchObject([
      {details: {from: 'g'}, reason: expect.stringContaining('demand.m')},
    ]);
  });

  test('fails at once for its caller, whose other calls are answered', async () => {
    const {address} = await startControl();
    const client = createClient(address);
    await client.ask({type: 'status-ask'}, 5_000);

    const [invalid, status] = await Promise.allSettled([
      client.ask({...REPORT, demand: {m: DEMAND}}, 5_000),
      client.ask({type: 'status-ask'}, 5_000),
    ]);

    expect(invalid).toMatchObject({
      status: 'rejected',
      reason: {message: expect.stringContaining('demand.m')},
    });
    expect(status).toMatchObject({status: 'fulfilled'});
  });
});

// The error was thrown where nobody waits for the call, which ended the process.
test('a call that is too long to be sent fails for its caller alone', async () => {
  const {address} = await startControl();
  const client = createClient(address);
  const gatewayId = LONG_TEXT;

  await expect(client.ask({...REPORT, gatewayId}, 5_000)).rejects.toThrow(
    'refusing to send a frame',
  );

  expect(await client.ask({type: 'status-ask'}, 5_000)).toMatchObject({
    type: 'status-answer',
  });
});

test('an answer that is too long to be sent fails for its caller alone', async () => {
  const {address, listEvents} = await startControl();
  const client = createClient(address);
  const send = FrameConnection.prototype.send;
  vi.spyOn(FrameConnection.prototype, 'send').mockImplementation(function (
    this: FrameConnection,
    payload: Uint8Array,
  ) {
    const bytes = Buffer.from(payload);
    if (bytes.includes('entries')) {
      throw new TransportError('refusing to send a frame');
    }
    send.call(this, payload);
  });

  await expect(
    client.ask({type: 'journal-ask', after: 0}, 5_000),
  ).rejects.toThrow('journal-answer: refusing to send a frame');

  expect(listEvents('call-invalid')).toHaveLength(1);
});

// Guards against an error in the handler of one call that ends the process.
test('a call whose handler fails costs only itself', async () => {
  const {address, listEvents} = await startControl();
  const client = createClient(address);
  vi.spyOn(RegistrationService.prototype, 'register').mockImplementation(() => {
    throw new RangeError('the handler failed');
  });

  const [failed, status] = await Promise.allSettled([
    client.ask({type: 'registration-ask', registration: REGISTRATION}, 500),
    client.ask({type: 'status-ask'}, 5_000),
  ]);

  expect(failed.status).toBe('rejected');
  expect(status.status).toBe('fulfilled');
  expect(listEvents('call-fault')[0]).toMatchObject({
    reason: 'the handler failed',
    details: {ask: 'registration-ask', error: 'RangeError'},
  });
});
