import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {LeaderCandidates} from '../../src/protocol/leader_candidates';

function parseHosts(hosts: readonly string[]): ServerAddress[] {
  return hosts.map(host => ServerAddress.parse(`${host}:1`));
}

function takeRemaining(candidates: LeaderCandidates): string[] {
  const taken: string[] = [];
  for (
    let address = candidates.takeNext();
    address !== undefined;
    address = candidates.takeNext()
  ) {
    taken.push(address.host);
  }
  return taken;
}

test('every process is asked once a round, whatever addresses followers report', () => {
  const candidates = LeaderCandidates.create(parseHosts(['a', 'b', 'c']));

  const first = candidates.takeNext();
  candidates.add(parseHosts(['a', 'b', 'c', 'x']));
  const second = candidates.takeNext();
  candidates.add(parseHosts(['a', 'b', 'c', 'y']));

  expect([first?.host, second?.host, ...takeRemaining(candidates)]).toEqual([
    'a',
    'b',
    'c',
    'x',
    'y',
  ]);
});

test('the reported leader is asked next, unless it was already asked in this round', () => {
  const candidates = LeaderCandidates.create(parseHosts(['a', 'b', 'c']));

  candidates.takeNext();
  candidates.add(parseHosts(['c', 'b']));

  expect(takeRemaining(candidates)).toEqual(['c', 'b']);
});

test('a new round excludes addresses with an attempt in flight', () => {
  const candidates = LeaderCandidates.create(parseHosts(['a', 'b']));
  takeRemaining(candidates);
  candidates.finish(ServerAddress.parse('b:1'));

  candidates.startRound();

  expect(takeRemaining(candidates)).toEqual(['b']);
});
