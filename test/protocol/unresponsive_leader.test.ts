/**
 * After the leader had been cut off in silence, hosts and entries found no leader any
 * more, although another one stood within a second: "leader control-2, hosts [],
 * entries []" for 30 s. A call whose whole time is no longer than its patience with
 * the leader ended before that patience did, and left the silent connection to the
 * next call, which did the same.
 */
import {afterEach, expect, test} from 'vitest';
import {ControlClient} from '../../src/protocol/control_client';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';

const PATIENCE_MS = 300;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** A control process that leads until it falls silent on the connections that it has. */
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

test('a leader that fell silent costs one call its time and not the next', async () => {
  let leading = 'first';
  const addresses = await Promise.all([
    startControl('first', () => leading === 'first'),
    startControl('second', () => leading === 'second'),
  ]);
  const client = ControlClient.create({
    addresses,
    hedgeDelayMs: PATIENCE_MS,
    identity: {program: 'host', id: 'h', incarnation: 'i'},
  });
  closers.push(() => client.close());
  const ask = (timeoutMs: number) =>
    client.ask<'source-ask'>({type: 'source-ask'}, timeoutMs);
  expect(await ask(5_000)).toMatchObject({source: 'first'});

  leading = 'second';
  await ask(PATIENCE_MS).catch(() => undefined);

  expect(await ask(PATIENCE_MS)).toMatchObject({source: 'second'});
});
