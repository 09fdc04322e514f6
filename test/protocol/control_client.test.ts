/**
 * Guards against frozen control processes that keep a client from the leader.
 *
 * The machine of a frozen process still accepts connections. The client waited up to
 * 2 s for the hello of each one, which did not count towards the timeout of the
 * attempt. When the leader and one more process were frozen, gateways got no news for
 * up to 4.6 s and used their old rules for the 4.25 s that a confirmation allows: 2 s
 * after a change was confirmed, 1.6 s into the freeze, some still used version 81
 * instead of 88, or refused an added route.
 *
 * Seen in the log: "no control leader answered … no hello in time" 2.9 s after the
 * freeze, a request served by the old version at 3.7 s, then refusals because the
 * last confirmation was 4.5 s old; the new rules arrived only after the thaw.
 */
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlClient} from '../../src/protocol/control_client';
import {Message} from '../../src/protocol/message';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';

/** Shorter than two full handshake timeouts, much longer than two hedged attempts. */
const ASK_MS = 3_500;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a control process that leads, or a frozen one whose machine still accepts connections. */
async function startControl(isFrozen: boolean): Promise<string> {
  const identity = {program: 'control', id: 'c', incarnation: 'i'} as const;
  const answer = (call: number): Message => ({
    type: 'source-answer',
    call,
    source: 'newest',
  });
  const server = await FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    onConnection: connection => {
      if (isFrozen) {
        return;
      }
      void Peer.create(connection, identity)
        .then(peer =>
          peer.messages.observe(message => {
            if ('call' in message) {
              peer.send(answer(message.call));
            }
          }),
        )
        .catch(() => undefined);
    },
  });
  closers.push(() => server.close());
  return `127.0.0.1:${server.port}`;
}

/** Starts a proxy that forwards nothing for the first `delayMs`. */
async function startSlowProxy(
  address: string,
  delayMs: number,
): Promise<string> {
  const [host, port] = address.split(':');
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    setTimeout(() => {
      const upstream = net.connect(Number(port), host);
      upstream.on('error', () => undefined);
      socket.pipe(upstream).pipe(socket);
    }, delayMs);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

test('a client reaches the leader although the other control processes are frozen', async () => {
  const addresses = await Promise.all([true, true, false].map(startControl));
  const client = ControlClient.create({
    addresses: addresses.map(ServerAddress.parse),
    hedgeDelayMs: 1_000,
    identity: {program: 'gateway', id: 'g', incarnation: 'i'},
  });
  closers.push(() => client.close());

  await expect(
    client.ask<'source-ask'>({type: 'source-ask'}, ASK_MS),
  ).resolves.toMatchObject({source: 'newest'});
});

test('a client reaches a leader behind a slow connection', async () => {
  const addresses = [await startSlowProxy(await startControl(false), 600)];
  const client = ControlClient.create({
    addresses: addresses.map(ServerAddress.parse),
    hedgeDelayMs: 1_000,
    identity: {program: 'gateway', id: 'g', incarnation: 'i'},
  });
  closers.push(() => client.close());

  await expect(
    client.ask<'source-ask'>({type: 'source-ask'}, 10_000),
  ).resolves.toMatchObject({source: 'newest'});
});
