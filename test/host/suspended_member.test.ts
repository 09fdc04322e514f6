/**
 * The monotonic clock does not advance while a machine is suspended. After 5 s the
 * first member of a group still relied on heartbeats that were 20 ms old by its own
 * clock, although they bind the other members for 0.7 s only. Those could have joined
 * another group by then, so that two groups would have run on the same host.
 */
import {expect, test} from 'vitest';
import {EngineController} from '../../src/host/engine_controller';
import {GroupMember} from '../../src/host/group_member';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';
import {waitUntil} from '../support/wait_until';

const SUSPENDED_MS = 5_000;

/** Starts a member that confirms every heartbeat request. */
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
            const fields = {groupId, epoch, nonce, hostId: 'h2'};
            peer.send({type: 'heartbeat-answer', ...fields, isMember: true});
          }
        }),
      );
    },
  });
}

test('the first member does not rely on heartbeats from before its suspension', async () => {
  const server = await startMember();
  let suspendedMs = 0;
  const engine = {setDesiredGroup: () => undefined, hasAccepted: () => true};
  const options = {
    hostId: 'h1',
    identity: {program: 'host', id: 'h1', incarnation: 'i'} as const,
    clock: {now: () => performance.now()},
    leaseClock: {now: () => performance.now() + suspendedMs},
    engine: engine as unknown as EngineController,
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
  await waitUntil('a complete group', () =>
    member.isServing(performance.now()),
  );

  suspendedMs = SUSPENDED_MS;
  expect(member.isServing(performance.now())).toBe(false);
  expect(member.findStopReason({groupId: 'g', epoch: 1})).toContain('h2');
  await waitUntil('a new heartbeat', () => member.isServing(performance.now()));
  member.close();
  await server.close();
});
