/**
 * Guards against clients that keep using a dead connection to an old leader.
 *
 * After a network partition without connection errors, hosts and entries found no
 * leader for 30 s ("leader control-2, hosts [], entries []"), although a new one was
 * elected within a second. A call whose timeout was not longer than the time after
 * which the leader is searched for again failed first, and left the dead connection
 * to the next call, which failed the same way.
 */
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlClient} from '../../src/protocol/control_client';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';

const HEDGE_DELAY_MS = 300;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a control process that stops answering, on open connections, when it does not lead. */
async function startControl(source: string, isLeading: () => boolean) {
  const server = await FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    onConnection: connection =>
      void Peer.create(connection, {
        program: 'control',
        id: source,
        incarnation: 'i',
      })
        .then(peer =>
          peer.messages.observe(message => {
            if ('call' in message && isLeading()) {
              peer.send({type: 'source-answer', call: message.call, source});
            }
          }),
        )
        .catch(() => undefined),
  });
  closers.push(() => server.close());
  return `127.0.0.1:${server.port}`;
}

test('a leader that stops answering costs one call its timeout, and not the next call', async () => {
  let leading = 'first';
  const addresses = await Promise.all([
    startControl('first', () => leading === 'first'),
    startControl('second', () => leading === 'second'),
  ]);
  const client = ControlClient.create({
    addresses: addresses.map(ServerAddress.parse),
    hedgeDelayMs: HEDGE_DELAY_MS,
    identity: {program: 'host', id: 'h', incarnation: 'i'},
  });
  closers.push(() => client.close());
  const ask = (timeoutMs: number) =>
    client.ask<'source-ask'>({type: 'source-ask'}, timeoutMs);
  expect(await ask(5_000)).toMatchObject({source: 'first'});

  leading = 'second';
  await ask(HEDGE_DELAY_MS).catch(() => undefined);

  expect(await ask(HEDGE_DELAY_MS)).toMatchObject({source: 'second'});
});
