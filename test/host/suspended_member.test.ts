/**
 * A machine may be suspended for seconds, and its steady clock does not count them.
 * The first member of a group that was away for 5 s still counted on heartbeats from
 * before, 20 ms old by its own clock, while its members had been bound for 0.7 s
 * only and might serve in another group: two groups with one host would have run.
 */
import {expect, test} from 'vitest';
import {EngineController} from '../../src/host/engine_controller';
import {GroupMember} from '../../src/host/group_member';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';
import {waitUntil} from '../support/wait_until';

const AWAY_MS = 5_000;

/** A member of any group that asks. */
async function startMember() {
  return FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    onConnection: connection => {
      const identity = {program: 'host', id: 'h2', incarnation: 'i'} as const;
      void Peer.create(connection, identity).then(peer =>
        peer.messages.observe(message => {
          if (message.type === 'heartbeat-ask') {
            const {groupId, epoch, nonce} = message;
            const told = {groupId, epoch, nonce, hostId: 'h2'};
            peer.send({type: 'heartbeat-answer', ...told, isMember: true});
          }
        }),
      );
    },
  });
}

test('the first member of a group that was suspended counts on no heartbeat from before', async () => {
  const server = await startMember();
  let away = 0;
  const orders = {setDesiredGroup: () => undefined, hasAccepted: () => true};
  const options = {
    hostId: 'h1',
    identity: {program: 'host', id: 'h1', incarnation: 'i'} as const,
    clock: {now: () => performance.now()},
    leaseClock: {now: () => performance.now() + away},
    engine: orders as unknown as EngineController,
  };
  const member = GroupMember.create(options);
  member.assign({
    id: 'g',
    epoch: 1,
    fencing: 1,
    kind: 'model',
    name: 'm',
    domain: 'd',
    zone: 'z',
    members: [
      {hostId: 'h1', incarnation: 'i', address: ''},
      {hostId: 'h2', incarnation: 'i', address: `127.0.0.1:${server.port}`},
    ],
    isDraining: false,
  });
  await waitUntil('a whole group', () => member.isServing(performance.now()));

  away = AWAY_MS;
  expect(member.isServing(performance.now())).toBe(false);
  expect(member.findStopReason({groupId: 'g', epoch: 1})).toContain('h2');
  await waitUntil('a new heartbeat', () => member.isServing(performance.now()));
  member.close();
  await server.close();
});
