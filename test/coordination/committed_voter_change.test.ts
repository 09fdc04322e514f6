import {describe, expect, test} from 'vitest';
import {createRandom} from '../support/create_random';
import {RaftNetwork} from '../support/raft_network';

// Guards against a committed voter change that no disk records as committed. The commit
// index is written only beside the next entry, and none followed the replacement of a
// voter; the disks of the old voters had stalled until the new one had the change, too.
// After a loss of all power and of two disks, the remaining three also needed a majority
// of the old voters, one of which was gone: no leader could ever be elected, although
// all entries were on disk.

const FOUNDERS = ['a', 'b', 'c', 'd', 'e'];
const SURVIVORS = [
  ['a', 'b', 'f/1'],
  ['a', 'c', 'f/1'],
  ['b', 'd', 'f/1'],
  ['c', 'd', 'f/1'],
  ['b', 'c', 'd'],
];

function findLeader(net: RaftNetwork): string | undefined {
  return net.identities.find(name => {
    const {node, isUp} = net.get(name);
    return isUp && node.role === 'leader';
  });
}

/** Replaces the lost voter e by f and writes nothing afterwards. */
function replaceVoter(): RaftNetwork {
  const net = RaftNetwork.create(FOUNDERS, createRandom(3));
  net.crash('e');
  net.run(3_000);
  const leader = findLeader(net) ?? '';
  // f starts with a copy of the log, so that it receives the change together with the others.
  net.addNode('f/1', structuredClone(net.get(leader).disk));
  const command = {
    type: 'set-voter' as const,
    time: 0,
    name: 'f',
    identity: 'f/1',
    replaces: 'e',
  };
  net.propose(leader, command);
  // The other disks stall until the new voter has the change on disk.
  for (let round = 0; round < 8; round += 1) {
    net.tick(20);
    for (let count = net.messagesInFlight.length; count > 0; count -= 1) {
      net.deliver(0);
    }
    net.sync('f/1');
  }
  net.run(3_000);
  return net;
}

describe('a committed voter change', () => {
  test.each(SURVIVORS)(
    'is in force for the survivors %s, %s and %s',
    (...survivors) => {
      const net = replaceVoter();
      net.identities.forEach(name => net.crash(name));
      survivors.forEach(name => net.restart(name));
      net.run(10_000);

      expect(survivors).toContain(findLeader(net));
    },
  );

  test('is no longer in progress once a majority records it as committed', () => {
    const net = replaceVoter();
    const {node} = net.get(findLeader(net) ?? '');

    expect(node.isChangingVoters).toBe(false);
    expect(node.listCommittedVoters().has('f')).toBe(true);
  });
});
