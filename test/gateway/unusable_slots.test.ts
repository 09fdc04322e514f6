import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';
import {SlotForecast} from '../../src/gateway/scheduling/slot_forecast';

const SLOTS = 34;
const MODEL = {pool: 'p', model: 'm'};

function createBalancer(incarnations: readonly string[]) {
  const clock = {time: 0, now: () => clock.time};
  const balancer = LoadBalancer.create('z', clock, () => 0.5);
  const targets = incarnations.map(incarnation => ({
    ...MODEL,
    incarnation,
    address: ServerAddress.parse(`${incarnation}:1`),
    zone: 'z',
    slots: SLOTS,
    epoch: 1,
  }));
  balancer.setTargets(
    new Map(targets.map(target => [target.incarnation, target])),
  );
  return {balancer, targets, clock};
}

// Guards against requests that were accepted for the slots of heads that take none, and held
// until their callers left.
test('heads that stalled, closed or are full have no free slots', () => {
  const {balancer, targets, clock} = createBalancer(['a', 'b', 'c', 'd']);
  expect(balancer.readLoad(MODEL).freeSlots).toBe(4 * SLOTS);

  balancer.recordStalled('a');
  balancer.recordClosed(targets[1]);
  balancer.recordFull('c');
  expect(balancer.readLoad(MODEL).freeSlots).toBe(SLOTS);

  clock.time = 400;
  expect(balancer.readLoad(MODEL).freeSlots).toBe(2 * SLOTS);
});

test('the requests of other gateways take slots', () => {
  const {balancer} = createBalancer(['a']);
  balancer.recordRequestStart('a', 100);
  balancer.setRunningElsewhere({a: 9}, 1);
  expect(balancer.readLoad(MODEL)).toEqual({
    freeSlots: SLOTS - 10,
    running: 10,
  });
});

// Guards against callers that come back after a refusal and take slots from those that can
// still be in time.
test('a caller that states less time than others of its route has waited before', () => {
  const clock = {time: 0, now: () => clock.time};
  const forecast = SlotForecast.create(clock);
  expect(forecast.estimateWaitedMs('r', 8_000)).toBe(0);
  expect(forecast.estimateWaitedMs('r', 5_400)).toBe(2_600);
  expect(forecast.estimateWaitedMs('other', 5_400)).toBe(0);
  expect(forecast.estimateWaitedMs('r', undefined)).toBe(0);

  // After a change of the route's timeout, the callers of before are forgotten.
  clock.time = 61_000;
  expect(forecast.estimateWaitedMs('r', 5_400)).toBe(0);
});

// Guards against a count that is a function of Object.prototype, so that no request of the service was served.
test.each(['constructor', 'toString', 'hasOwnProperty'])(
  'a backend server named %s has the running requests that were reported',
  incarnation => {
    const {balancer} = createBalancer([incarnation, 'b']);
    balancer.setRunningElsewhere({b: 2}, 1);

    expect(balancer.readLoad(MODEL)).toEqual({
      freeSlots: 2 * SLOTS - 2,
      running: 2,
    });
  },
);
