/**
 * Each call of a backend server or an operator searched for the leader by itself and
 * asked every control process each 50 ms. Dozens of calls wait at each process while
 * there is no leader, so the processes answered each other's questions when they
 * should elect. It was seen while a day that ended without a leader was looked into,
 * whose cause it was not: that day used less processor time than others.
 *
 * What settled it: in 600 ms one call put 12 questions to a process that does not
 * lead, and forty put 480; together they put 12.
 */
import {afterEach, expect, test} from 'vitest';
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

/** Counts the questions that so many calls at the same moment put to a process that does not lead. */
async function countQuestions(calls: number): Promise<number> {
  let questions = 0;
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
              questions += 1;
              peer.send({type: 'not-leader', call: message.call});
            }
          }),
        )
        .catch(() => undefined),
  });
  closers.push(() => server.close());
  const client = ControlClient.create({
    addresses: [`127.0.0.1:${server.port}`],
    identity: {program: 'operator', id: 'o', incarnation: 'i'},
  });
  closers.push(() => client.close());
  const asks = Array.from({length: calls}, () =>
    client.ask<'source-ask'>({type: 'source-ask'}, CALL_MS),
  );
  await Promise.allSettled(asks);
  return questions;
}

test('many calls that wait for a leader ask no more than one does', async () => {
  const ofOne = await countQuestions(1);
  const ofMany = await countQuestions(CALLS);
  expect(ofOne).toBeGreaterThan(0);
  expect(ofMany).toBeLessThan(3 * ofOne);
});
