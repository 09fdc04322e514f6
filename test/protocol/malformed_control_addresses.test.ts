/**
 * Guards against a search for the leader that a malformed address ends. A follower of the
 * version before, or one with such an address on its disk, names it to every client.
 */
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlClient} from '../../src/protocol/control_client';
import {Message} from '../../src/protocol/message';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';

const ASK_MS = 5_000;
const identity = {program: 'control', id: 'c', incarnation: 'i'} as const;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function startControl(
  answer: (call: number, type: string) => Message,
): Promise<ServerAddress> {
  const server = await FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    onConnection: connection =>
      void Peer.create(connection, identity).then(peer =>
        peer.messages.observe(message => {
          if ('call' in message) {
            peer.send(answer(message.call, message.type));
          }
        }),
      ),
  });
  closers.push(() => server.close());
  return ServerAddress.create('127.0.0.1', server.port);
}

function startLeader(): Promise<ServerAddress> {
  return startControl((call, type) =>
    type === 'leader-ask'
      ? {type: 'leader-answer', call}
      : {type: 'source-answer', call, source: 'newest'},
  );
}

function startFollower(control: readonly string[]): Promise<ServerAddress> {
  return startControl(call => ({
    type: 'not-leader',
    call,
    control: [...control],
  }));
}

function createClient(addresses: readonly ServerAddress[]) {
  const malformed: string[] = [];
  const client = ControlClient.create({
    addresses,
    hedgeDelayMs: 1_000,
    identity: {program: 'gateway', id: 'g', incarnation: 'i'},
    onMalformedAddress: error => malformed.push(error.message),
  });
  closers.push(() => client.close());
  const readSource = async () => {
    const ask = {type: 'source-ask' as const};
    return (await client.ask<'source-ask'>(ask, ASK_MS)).source;
  };
  return {malformed, readSource};
}

test('the leader is found among malformed addresses that a follower reports', async () => {
  const leader = await startLeader();
  const texts = listMalformedAddresses(leader.port);
  const follower = await startFollower([...texts, leader.toString()]);
  const {malformed, readSource} = createClient([follower]);

  expect(await readSource()).toBe('newest');
  for (const text of texts) {
    expect(malformed).toContainEqual(
      expect.stringContaining(JSON.stringify(text)),
    );
  }
});

test('a client whose follower reports only malformed addresses goes on with those that it has', async () => {
  const follower = await startFollower(listMalformedAddresses(8_080));
  const leader = await startLeader();
  const {readSource} = createClient([follower, leader]);

  expect(await readSource()).toBe('newest');
});
