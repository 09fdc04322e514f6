import {expect, test} from 'vitest';
import {LeaderCandidates} from '../../src/protocol/leader_candidates';

function takeAll(order: LeaderCandidates): string[] {
  const taken: string[] = [];
  for (
    let address = order.takeNext();
    address !== undefined;
    address = order.takeNext()
  ) {
    taken.push(address);
  }
  return taken;
}

test('everybody is asked once a round, whatever those that do not lead tell', () => {
  const order = LeaderCandidates.create(['a', 'b', 'c']);

  const first = order.takeNext();
  order.add(['a', 'b', 'c', 'x']);
  const second = order.takeNext();
  order.add(['a', 'b', 'c', 'y']);

  expect([first, second, ...takeAll(order)]).toEqual(['a', 'b', 'c', 'x', 'y']);
});

test('the leader that is told comes next, unless it was asked in this round', () => {
  const order = LeaderCandidates.create(['a', 'b', 'c']);

  order.takeNext();
  order.add(['c', 'b']);

  expect(takeAll(order)).toEqual(['c', 'b']);
});

test('a round leaves out those whose answer may still come', () => {
  const order = LeaderCandidates.create(['a', 'b']);
  takeAll(order);
  order.finish('b');

  order.startRound();

  expect(takeAll(order)).toEqual(['b']);
});
