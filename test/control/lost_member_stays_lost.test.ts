/**
 * A member died and a gateway reported its group as stalled, so that one failed probe made
 * it lost. When the group had ended, the report no longer applied and two failed probes were
 * needed, so the member counted as healthy again: the next group was formed with it and
 * ended in turn. It was taken for lost eight times, at 3.78, 3.95 and 4.09 s for instance,
 * and each repair took 1.4 s instead of 0.4 s.
 */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendHealth} from '../../src/control/backend_health';
import {BackendRegistry} from '../../src/control/backend_registry';
import {createGroup, createHost} from '../support/engine_plan';

const LAST_HEARD_MS = 400;

function create() {
  const clock = {time: 1_000, now: () => clock.time};
  const registry = BackendRegistry.create();
  ['a', 'b'].forEach(name =>
    registry.record(createHost(name).registration, 900),
  );
  const answering = new Set(['a:1']);
  const health = BackendHealth.create({
    poolSettings: {
      heartbeatMs: 1_200,
      stallMs: 5_000,
      orders: {
        send: () => Promise.resolve({outcome: 'begun'}),
        probe: address => Promise.resolve(answering.has(address.toString())),
      },
    },
    clock,
    registry,
    events: EventRing.create(),
    gateways: {
      isReportedStalled: incarnation => incarnation === 'a',
      findLastActivityAt: () => 1_000 - LAST_HEARD_MS,
    },
  });
  const refresh = async (groups: Parameters<BackendHealth['refresh']>[0]) => {
    health.refresh(groups, clock.time);
    await new Promise(resolve => setImmediate(resolve));
    clock.time += 40;
  };
  return {clock, registry, answering, health, refresh};
}

test('a lost member stays lost once its group is gone', async () => {
  const {health, refresh} = create();
  await refresh([createGroup(['a', 'b'])]);
  expect(health.isLost('b')).toBe(true);
  await refresh([]);
  expect(health.isLost('b')).toBe(true);
});

test('it recovers once it registers', async () => {
  const {clock, registry, health, refresh} = create();
  await refresh([createGroup(['a', 'b'])]);
  registry.record(createHost('b', {sequence: 2}).registration, clock.time);
  await refresh([]);
  expect(health.isLost('b')).toBe(false);
});

test('it recovers once it answers a probe', async () => {
  const {clock, answering, health, refresh} = create();
  await refresh([createGroup(['a', 'b'])]);
  answering.add('b:1');
  clock.time += 1_000;
  await refresh([createGroup(['a', 'b'])]);
  expect(health.isLost('b')).toBe(false);
});
