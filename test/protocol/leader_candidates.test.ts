import {expect, test} from 'vitest';
import {LeaderCandidates} from '../../src/protocol/leader_candidates';

function takeRemaining(candidates: LeaderCandidates): string[] {
  const taken: string[] = [];
  for (
    let address = candidates.takeNext();
    address !== undefined;
    address = candidates.takeNext()
  ) {
    taken.push(address);
  }
  return taken;
}

test('every process is asked once a round, whatever addresses followers report', () => {
  const candidates = LeaderCandidates.create(['a', 'b', 'c']);

  const first = candidates.takeNext();
  candidates.add(['a', 'b', 'c', 'x']);
  const second = candidates.takeNext();
  candidates.add(['a', 'b', 'c', 'y']);

  expect([first, second, ...takeRemaining(candidates)]).toEqual([
    'a',
    'b',
    'c',
    'x',
    'y',
  ]);
});

test('the reported leader is asked next, unless it was already asked in this round', () => {
  const candidates = LeaderCandidates.create(['a', 'b', 'c']);

  candidates.takeNext();
  candidates.add(['c', 'b']);

  expect(takeRemaining(candidates)).toEqual(['c', 'b']);
});

test('a new round excludes addresses with an attempt in flight', () => {
  const candidates = LeaderCandidates.create(['a', 'b']);
  takeRemaining(candidates);
  candidates.finish('b');

  candidates.startRound();

  expect(takeRemaining(candidates)).toEqual(['b']);
});
