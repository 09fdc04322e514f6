/**
 * Guards against a load peak on control processes while there is no leader.
 *
 * Each waiting call of a backend server or an operator searched for the leader by
 * itself and asked every control process every 50 ms. Dozens of calls wait at each
 * process then, so the processes were busy with these requests when they should elect
 * a leader. In 600 ms one call sent 12 requests to a follower and forty calls sent 480;
 * with a shared search they send 12. Noticed while examining a day that ended without
 * a leader, which it did not cause: that day used less CPU time than others.
 */
import {afterEach, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {ControlClient} from '../../src/protocol/control_client';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';

const CALL_MS = 600;
const CALLS = 40;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Counts the requests that a follower gets from this number of concurrent calls. */
async function countRequests(calls: number): Promise<number> {
  let requests = 0;
  const server = await FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    onConnection: connection =>
      void Peer.create(connection, {
        program: 'control',
        id: 'c',
        incarnation: 'i',
      })
        .then(peer =>
          peer.messages.observe(message => {
            if ('call' in message) {
              requests += 1;
              peer.send({type: 'not-leader', call: message.call});
            }
          }),
        )
        .catch(() => undefined),
  });
  closers.push(() => server.close());
  const client = ControlClient.create({
    addresses: [ServerAddress.parse(`127.0.0.1:${server.port}`)],
    identity: {program: 'operator', id: 'o', incarnation: 'i'},
  });
  closers.push(() => client.close());
  const pending = Array.from({length: calls}, () =>
    client.ask<'source-ask'>({type: 'source-ask'}, CALL_MS),
  );
  await Promise.allSettled(pending);
  return requests;
}

test('many calls that wait for a leader share one search', async () => {
  const requestsOfOne = await countRequests(1);
  const requestsOfMany = await countRequests(CALLS);
  expect(requestsOfOne).toBeGreaterThan(0);
  expect(requestsOfMany).toBeLessThan(3 * requestsOfOne);
});
