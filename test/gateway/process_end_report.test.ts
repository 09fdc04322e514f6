/**
 * A head that ended with its process was doubted by control 2.6 to 3.8 s later, by two
 * registrations that did not come, while gateways knew of its end within milliseconds.
 */
import {expect, test} from 'vitest';
import {LoadBalancer} from '../../src/gateway/load_balancer';

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
  const board = LoadBalancer.create(
    'z',
    clock,
    () => 0,
    () => (told += 1),
  );
  board.setTargets(new Map([['a', TARGET]]));
  board.recordRequestStart('a', 100);
  board.recordActivity('a');
  clock.time += 100;
  board.recordProcessEnded('a');
  expect(told).toBe(1);
  expect(board.describeHealth()).toMatchObject({stalled: ['a'], answering: []});
  board.recordProcessEnded('a');
  expect(told).toBe(1);
});

test('what gateways heard is told with its age', () => {
  const clock = {time: 1_000, now: () => clock.time};
  const board = LoadBalancer.create('z', clock, () => 0);
  board.setTargets(new Map([['a', TARGET]]));
  board.recordActivity('a');
  clock.time += 120;
  expect(board.describeHealth()).toMatchObject({
    answering: ['a'],
    answeringMsAgo: [120],
  });
});
