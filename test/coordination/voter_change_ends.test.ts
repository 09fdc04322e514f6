import {describe, expect, test} from 'vitest';
import {createRandom} from '../support/create_random';
import {RaftNet} from '../support/raft_net';

// A voter was replaced, and then nothing was written for a while. That the change was
// committed stood in the memory of five processes and on no disk, since what is known
// to be committed is written beside the next entry only, and the disks of the old
// voters had stalled until the new one had the change, too. After a loss of all power and
// of two disks the three that were left asked the old voters for a majority, too, one
// of which was gone for good: no leader ever, with everything on disk.

const FOUNDERS = ['a', 'b', 'c', 'd', 'e'];
const SURVIVORS = [
  ['a', 'b', 'f/1'],
  ['a', 'c', 'f/1'],
  ['b', 'd', 'f/1'],
  ['c', 'd', 'f/1'],
  ['b', 'c', 'd'],
];

function findLeader(net: RaftNet): string | undefined {
  return net.identities.find(name => {
    const {node, isUp} = net.get(name);
    return isUp && node.role === 'leader';
  });
}

/** The place of e, which is gone, is given to f, and then nothing is written. */
function replaceVoter(): RaftNet {
  const net = RaftNet.create(FOUNDERS, createRandom(3));
  net.crash('e');
  net.run(3_000);
  const leader = findLeader(net) ?? '';
  // It has what was written so far, so that the change comes to it with the others.
  net.place('f/1', structuredClone(net.get(leader).disk));
  const command = {
    type: 'set-voter' as const,
    time: 0,
    name: 'f',
    identity: 'f/1',
    replaces: 'e',
  };
  net.propose(leader, command);
  // The other disks stall until the new voter has the change, too.
  for (let round = 0; round < 8; round += 1) {
    net.tick(20);
    for (let count = net.flights.length; count > 0; count -= 1) {
      net.deliver(0);
    }
    net.sync('f/1');
  }
  net.run(3_000);
  return net;
}

describe('a change of voters that is over', () => {
  test.each(SURVIVORS)('is known to %s, %s and %s', (...survivors) => {
    const net = replaceVoter();
    net.identities.forEach(name => net.crash(name));
    survivors.forEach(name => net.restart(name));
    net.run(10_000);

    expect(survivors).toContain(findLeader(net));
  });

  test('holds up the next one until a majority has it on disk', () => {
    const net = replaceVoter();
    const {node} = net.get(findLeader(net) ?? '');

    expect(node.isChangingVoters).toBe(false);
    expect(node.listCommittedVoters().has('f')).toBe(true);
  });
});
