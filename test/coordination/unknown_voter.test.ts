import {describe, expect, test} from 'vitest';
import {LogEntry} from '../../src/protocol/log_entry';
import {createRandom} from '../support/create_random';
import {RaftNetwork} from '../support/raft_network';

// Guards against refusing a vote because the candidate is not a voter in the log of
// the node that is asked. A voter was replaced while another one lagged behind; then
// all lost power and two disks were lost, which the quorum must tolerate. Only the
// replacement had the newest acknowledged entry, and the lagging voter refused it
// permanently ("the asker is no voter here"): no leader in 59 s of virtual time, and
// the entry was lost. Votes depend on term, vote and log alone.

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

/** The remaining voters: c has the voter change, d lags behind, the replacement has all entries. */
function createSurvivors(change: LogEntry, replacement: string): RaftNetwork {
  const net = RaftNetwork.create(FOUNDERS, createRandom(1));
  FOUNDERS.forEach(identity => net.crash(identity));
  const vote = {term: 1, votedFor: undefined};
  net.addNode('c', {...vote, entries: [change]});
  net.addNode('d', {...vote, entries: []});
  const entries = [change, ACKNOWLEDGED];
  net.addNode(replacement, {...vote, entries, commitIndex: 1});
  return net;
}

function listLeaders(net: RaftNetwork): string[] {
  return net.identities.filter(name => {
    const {node, isUp} = net.get(name);
    return isUp && node.role === 'leader';
  });
}

describe('a voter that is missing in the log of another voter', () => {
  test('is elected after the loss of two disks', () => {
    const net = createSurvivors(replaceVoter('e', 'f/1'), 'f/1');
    net.run(10_000);

    expect(listLeaders(net)).toEqual(['f/1']);
    expect(net.committed.get(2)).toBe(JSON.stringify(ACKNOWLEDGED));
  });

  test('is elected under its previous name with a new disk', () => {
    const net = createSurvivors(replaceVoter('e', 'e/2'), 'e/2');
    net.run(10_000);

    expect(listLeaders(net)).toEqual(['e/2']);
    expect(net.committed.get(2)).toBe(JSON.stringify(ACKNOWLEDGED));
  });

  test('does not disturb a live leader', () => {
    const net = RaftNetwork.create(FOUNDERS, createRandom(2));
    net.run(2_000);
    const [leader] = listLeaders(net);
    const {term} = net.get(leader).node;
    const vote = {term: 1, votedFor: undefined};
    const change = replaceVoter('e', 'f/1');
    net.addNode('f/1', {...vote, entries: [change]});
    net.run(5_000);

    expect(listLeaders(net)).toEqual([leader]);
    expect(net.get(leader).node.term).toBe(term);
  });
});
