import {describe, expect, test} from 'vitest';
import {LogEntry} from '../../src/protocol/log_entry';
import {createRandom} from '../support/create_random';
import {RaftNet} from '../support/raft_net';

// A voter was replaced while another voter lagged behind. Then all lost power, and
// two disks were lost: as many as are to be borne. The one process that held the
// newest acknowledged entry was the replacement, and the voter that had lagged
// refused it for good with "the asker is no voter here", since the change had not
// reached its log. In 59 s of virtual time no leader came, and the entry was lost.
// A vote is given by term, vote and log alone: who the voters are stands in the log
// of the one that asks.

const FOUNDERS = ['a', 'b', 'c', 'd', 'e'];

function replaceVoter(name: string, identity: string): LogEntry {
  const isSameName = name === identity.split('/')[0];
  const replaces = isSameName ? undefined : name;
  const command = {
    type: 'set-voter' as const,
    time: 0,
    name: identity.split('/')[0],
    identity,
    replaces,
  };
  return {index: 1, term: 1, command};
}

const ACKNOWLEDGED: LogEntry = {
  index: 2,
  term: 1,
  command: {type: 'start-term', time: 7},
};

/** What is left of the quorum: c holds the change, d lags, the newcomer holds all. */
function createSurvivors(change: LogEntry, newcomer: string): RaftNet {
  const net = RaftNet.create(FOUNDERS, createRandom(1));
  FOUNDERS.forEach(identity => net.crash(identity));
  const vote = {term: 1, votedFor: undefined};
  net.place('c', {...vote, entries: [change]});
  net.place('d', {...vote, entries: []});
  const entries = [change, ACKNOWLEDGED];
  net.place(newcomer, {...vote, entries, commitIndex: 1});
  return net;
}

function listLeaders(net: RaftNet): string[] {
  return net.identities.filter(name => {
    const {node, isUp} = net.get(name);
    return isUp && node.role === 'leader';
  });
}

describe('a voter that another one has not heard of', () => {
  test('is elected after two disks were lost', () => {
    const net = createSurvivors(replaceVoter('e', 'f/1'), 'f/1');
    net.run(10_000);

    expect(listLeaders(net)).toEqual(['f/1']);
    expect(net.committed.get(2)).toBe(JSON.stringify(ACKNOWLEDGED));
  });

  test('is elected under its old name with its new disk', () => {
    const net = createSurvivors(replaceVoter('e', 'e/2'), 'e/2');
    net.run(10_000);

    expect(listLeaders(net)).toEqual(['e/2']);
    expect(net.committed.get(2)).toBe(JSON.stringify(ACKNOWLEDGED));
  });

  test('does not disturb a leader that is heard', () => {
    const net = RaftNet.create(FOUNDERS, createRandom(2));
    net.run(2_000);
    const [leader] = listLeaders(net);
    const {term} = net.get(leader).node;
    const stranger = {term: 1, votedFor: undefined};
    const change = replaceVoter('e', 'f/1');
    net.place('f/1', {...stranger, entries: [change]});
    net.run(5_000);

    expect(listLeaders(net)).toEqual([leader]);
    expect(net.get(leader).node.term).toBe(term);
  });
});
