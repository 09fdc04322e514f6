import {expect, test} from 'vitest';
import {SearchOrder} from '../../src/protocol/search_order';

function takeAll(order: SearchOrder): string[] {
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
  const order = SearchOrder.create(['a', 'b', 'c']);

  const first = order.takeNext();
  order.recordTold(['a', 'b', 'c', 'x']);
  const second = order.takeNext();
  order.recordTold(['a', 'b', 'c', 'y']);

  expect([first, second, ...takeAll(order)]).toEqual(['a', 'b', 'c', 'x', 'y']);
});

test('the leader that is told comes next, unless it was asked in this round', () => {
  const order = SearchOrder.create(['a', 'b', 'c']);

  order.takeNext();
  order.recordTold(['c', 'b']);

  expect(takeAll(order)).toEqual(['c', 'b']);
});

test('a round leaves out those whose answer may still come', () => {
  const order = SearchOrder.create(['a', 'b']);
  takeAll(order);
  order.recordEnd('b');

  order.startRound();

  expect(takeAll(order)).toEqual(['b']);
});
