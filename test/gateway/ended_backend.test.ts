/**
 * A head that ended with its process was doubted by control 2.6 to 3.8 s later, by two
 * registrations that did not come, while gateways knew of its end within milliseconds.
 */
import {expect, test} from 'vitest';
import {TargetBoard} from '../../src/gateway/target_board';

const TARGET = {
  incarnation: 'a',
  pool: 'p',
  address: 'a:1',
  zone: 'z',
  slots: 10,
  model: 'big',
  epoch: 1,
};

test('the end of a backend server is told to control at once', () => {
  const clock = {time: 1_000, now: () => clock.time};
  let told = 0;
  const board = TargetBoard.create(
    'z',
    clock,
    () => 0,
    () => (told += 1),
  );
  board.setTargets(new Map([['a', TARGET]]));
  board.recordStart('a', 100);
  board.recordHeard('a');
  clock.time += 100;
  board.recordEnded('a');
  expect(told).toBe(1);
  expect(board.listNews()).toMatchObject({stalled: ['a'], answering: []});
  board.recordEnded('a');
  expect(told).toBe(1);
});

test('what gateways heard is told with its age', () => {
  const clock = {time: 1_000, now: () => clock.time};
  const board = TargetBoard.create('z', clock, () => 0);
  board.setTargets(new Map([['a', TARGET]]));
  board.recordHeard('a');
  clock.time += 120;
  expect(board.listNews()).toMatchObject({
    answering: ['a'],
    answeringMsAgo: [120],
  });
});
