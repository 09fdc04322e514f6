/**
 * Guards against a late report of a crash: the control plane detected the end
 * of a head by two missed registrations, after 2.6 to 3.8 s, while gateways
 * knew of it within milliseconds.
 */
import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';

const TARGET = {
  incarnation: 'a',
  pool: 'p',
  address: ServerAddress.parse('a:1'),
  zone: 'z',
  slots: 10,
  model: 'big',
  epoch: 1,
};

test('the end of a backend server is reported to the control plane at once', () => {
  const clock = {time: 1_000, now: () => clock.time};
  let reports = 0;
  const balancer = LoadBalancer.create(
    'z',
    clock,
    () => 0,
    () => (reports += 1),
  );
  balancer.setTargets(new Map([['a', TARGET]]));
  balancer.recordRequestStart('a', 100);
  balancer.recordActivity('a');
  clock.time += 100;
  balancer.recordProcessEnded('a');
  expect(reports).toBe(1);
  expect(balancer.describeHealth()).toMatchObject({
    stalled: ['a'],
    answering: [],
  });
  balancer.recordProcessEnded('a');
  expect(reports).toBe(1);
});

test('activity is reported with its age', () => {
  const clock = {time: 1_000, now: () => clock.time};
  const balancer = LoadBalancer.create('z', clock, () => 0);
  balancer.setTargets(new Map([['a', TARGET]]));
  balancer.recordActivity('a');
  clock.time += 120;
  expect(balancer.describeHealth()).toMatchObject({
    answering: ['a'],
    answeringMsAgo: [120],
  });
});
