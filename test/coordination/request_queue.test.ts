import {describe, expect, test} from 'vitest';
import {ArrivalMeter} from '../../src/coordination/scheduling/arrival_meter';
import {LateAdmission} from '../../src/coordination/scheduling/late_admission';
import {RequestQueue} from '../../src/coordination/scheduling/request_queue';
import {WaitingRequest} from '../../src/coordination/scheduling/waiting_request';
import {computeReservedSlots} from '../../src/coordination/scheduling/compute_reserved_slots';

interface Named extends WaitingRequest {
  readonly name: string;
}

function create(name: string, changes: Partial<Named> = {}): Named {
  return {
    name,
    urgency: 0,
    workspace: 'w',
    workMs: 10,
    latestStartAt: 1_000,
    expiresAt: 5_000,
    ...changes,
  };
}

/** Starts all requests in their order, at one time. */
function start(queue: RequestQueue<Named>, now: number, count = 1e3): string[] {
  const names: string[] = [];
  for (
    let next = queue.findNext(now);
    next && names.length < count;
    next = queue.findNext(now)
  ) {
    queue.start(next);
    names.push(next.name);
  }
  return names;
}

describe('waiting requests begin', () => {
  test('in time before late, then by urgency, then by latest start', () => {
    // Guards against serving requests that are late anyway while others become late.
    const queue = RequestQueue.create<Named>();
    queue.add(create('late 0', {latestStartAt: -1}), 0);
    queue.add(create('late 1', {urgency: 1, latestStartAt: -1}), 0);
    queue.add(create('in time 1', {urgency: 1}), 0);
    queue.add(create('in time 0, later', {latestStartAt: 900}), 0);
    queue.add(create('in time 0, sooner', {latestStartAt: 800}), 0);

    expect(start(queue, 0)).toEqual([
      'in time 0, sooner',
      'in time 0, later',
      'in time 1',
      'late 0',
      'late 1',
    ]);
  });

  test('behind others once their objective can no longer be met', () => {
    const queue = RequestQueue.create<Named>();
    queue.add(create('old', {latestStartAt: 100}), 0);
    queue.add(create('new', {latestStartAt: 300}), 0);
    expect(start(queue, 200)).toEqual(['new', 'old']);
  });

  test('first of their urgency when their callers are about to disconnect', () => {
    // Guards against requests that were held and then lost to those in time.
    const queue = RequestQueue.create<Named>();
    queue.add(create('due', {latestStartAt: 10, expiresAt: 1_500}), 0);
    queue.add(create('in time', {latestStartAt: 2_000}), 0);
    queue.add(create('more urgent', {urgency: -1, latestStartAt: 2_000}), 0);
    expect(start(queue, 1_200)).toEqual(['more urgent', 'due', 'in time']);
  });

  test('after ten seconds at the latest if nothing of their urgency began', () => {
    // Guards against starving the least urgent level for as long as others fill all slots.
    const queue = RequestQueue.create<Named>();
    queue.add(create('least', {urgency: 2, latestStartAt: 1e6}), 0);
    queue.add(create('urgent', {latestStartAt: 1e6}), 0);
    expect(queue.findNext(9_000)?.name).toBe('urgent');
    expect(queue.findNext(10_001)?.name).toBe('least');
  });

  test('only if they are more urgent than a given level, where that has to wait', () => {
    // Guards against a late urgent request behind one that leaves a reserved slot.
    const queue = RequestQueue.create<Named>();
    queue.add(create('late 0', {latestStartAt: -1}), 0);
    queue.add(create('in time 1', {urgency: 1}), 0);
    expect(queue.findNext(0)?.name).toBe('in time 1');
    expect(queue.findNext(0, 1)?.name).toBe('late 0');
    expect(queue.findNext(0, 0)).toBeUndefined();
  });
});

describe('workspaces', () => {
  test('share slots by the work of their requests, however many they send', () => {
    // Guards against a workspace that gets more by sending more or larger requests.
    const queue = RequestQueue.create<Named>();
    for (let count = 0; count < 100; count += 1) {
      queue.add(create('small', {workspace: 'a', workMs: 5}), 0);
      queue.add(create('large', {workspace: 'b', workMs: 20}), 0);
    }
    const names = start(queue, 0, 50);
    const small = names.filter(name => name === 'small').length;
    expect(small).toBeGreaterThanOrEqual(39);
    expect(small).toBeLessThanOrEqual(41);
  });

  test('below their share lose less than 2 in 100 to one that asks for ten times its share', () => {
    const queue = RequestQueue.create<Named>();
    const waited = {light: 0, count: 0};
    let sequence = 0;
    // Ten workspaces; each slot of 1 ms goes to one request of equal work.
    for (let now = 0; now < 10_000; now += 1) {
      queue.add(create('heavy', {workspace: 'heavy', latestStartAt: 1e6}), now);
      if (now % 10 !== 0) {
        const name = `light ${now}`;
        sequence += 1;
        const workspace = `light ${sequence % 9}`;
        queue.add(create(name, {workspace, latestStartAt: 1e6}), now);
      }
      const [begun] = start(queue, now, 1);
      if (begun.startsWith('light')) {
        waited.light += now - Number(begun.slice(6));
        waited.count += 1;
      }
    }
    expect(waited.count).toBeGreaterThanOrEqual(9_000 * 0.99);
    expect(waited.light / waited.count).toBeLessThan(20);
  });

  test('do not gain by their number of requests ahead in the estimate', () => {
    const queue = RequestQueue.create<Named>();
    for (let count = 0; count < 500; count += 1) {
      queue.add(create('heavy', {workspace: 'heavy'}), 0);
    }
    const light = create('light', {workspace: 'light'});
    const heavy = create('heavy', {workspace: 'heavy'});
    expect(queue.countAhead(light, true, 0)).toBeLessThanOrEqual(1);
    expect(queue.countAhead(heavy, true, 0)).toBe(500);
  });
});

test('slots are reserved only where more urgent requests arrive, and at most 2 in 100', () => {
  const rates = {freedPerMs: 0.01, slots: 200};
  expect(computeReservedSlots({...rates, moreUrgentPerMs: 0})).toBe(0);
  expect(computeReservedSlots({...rates, moreUrgentPerMs: 0.005})).toBe(1);
  expect(computeReservedSlots({...rates, moreUrgentPerMs: 0.035})).toBe(4);
  expect(computeReservedSlots({...rates, moreUrgentPerMs: 0.5})).toBe(4);
});

test('arrivals are measured by urgency and forgotten after they end', () => {
  const arrivals = ArrivalMeter.create(0);
  for (let now = 0; now < 10_000; now += 100) {
    arrivals.record(1, now);
  }
  expect(arrivals.findRate(1, 10_000)).toBeCloseTo(0.01, 3);
  expect(arrivals.computeMoreUrgentRate(1, 10_000)).toBe(0);
  expect(arrivals.computeMoreUrgentRate(2, 10_000)).toBeCloseTo(0.01, 3);
  expect(arrivals.findRate(1, 40_000)).toBe(0);
});

test('late requests wait in a burst, and are refused in a lasting overload', () => {
  // Guards against a queue in which all answers of a lasting overload are late.
  const late = LateAdmission.create();
  const decided: boolean[] = [];
  for (let now = 0; now <= 8_000; now += 1_000) {
    decided.push(late.decide(now, false));
  }
  expect(decided).toEqual([...Array(6).fill(true), false, false, false]);
  expect(late.decide(9_000, true)).toBe(true);
  expect(late.decide(12_000, false)).toBe(true);
});
