import {expect, test} from 'vitest';
import {GroupLease} from '../../src/coordination/groups/group_lease';
import {HeartbeatPoller} from '../../src/host/heartbeat_poller';
import {MembershipMessage} from '../../src/protocol/membership_message';
import {MessageOf} from '../../src/protocol/message_of';
import {Peer} from '../../src/protocol/peer';
import {FrameServer} from '../../src/transport/frame_server';
import {waitUntil} from '../support/wait_until';

type HeartbeatRequest = MessageOf<MembershipMessage, 'heartbeat-ask'>;

test('a late answer renews the lease only from the time its request was sent', async () => {
  const requests: Array<{request: HeartbeatRequest; peer: Peer}> = [];
  const server = await FrameServer.create({
    host: '127.0.0.1',
    port: 0,
    onConnection: connection => {
      const member = {program: 'host', id: 'h2', incarnation: 'i'} as const;
      void Peer.create(connection, member).then(peer =>
        peer.messages.observe(message => {
          if (message.type === 'heartbeat-ask') {
            requests.push({request: message, peer});
          }
        }),
      );
    },
  });
  const clock = {time: 1_000, now: () => clock.time};
  const group = {
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
  } as const;
  const lease = GroupLease.create(
    {...group, members: [...group.members]},
    'h1',
    0,
  );
  const identity = {program: 'host', id: 'h1', incarnation: 'i'} as const;
  const poller = HeartbeatPoller.create({
    group: lease.group,
    lease,
    identity,
    clock,
  });
  const answer = ({request, peer}: {request: HeartbeatRequest; peer: Peer}) => {
    const {groupId, epoch, nonce} = request;
    peer.send({
      type: 'heartbeat-answer',
      hostId: 'h2',
      groupId,
      epoch,
      nonce,
      isMember: true,
    });
  };

  const first = await waitUntil('the first request', () => requests[0]);
  clock.time = 60_000;
  answer(first);
  const later = await waitUntil('a request after the delay', () =>
    requests.find(({request}) => request.nonce > first.request.nonce),
  );
  expect(lease.isHeld(60_000)).toBe(false);

  answer(later);
  await waitUntil('a fresh answer', () => lease.isHeld(60_000));
  poller.close();
  await server.close();
});
