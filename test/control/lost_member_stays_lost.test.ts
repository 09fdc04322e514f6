/**
 * A member died, a gateway said that its group had stalled, and one failed question was
 * enough. Once the group was gone the gateway's word no longer concerned the member, two
 * failed questions were needed, and it counted as well again: the next group was formed
 * with it, and ended. "backend-lost" came for the same backend server at 3.78, 3.95, 4.09
 * s and five more times, and each repair took 1.4 s in place of 0.4 s.
 */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendHealth} from '../../src/control/backend_health';
import {BackendRegistry} from '../../src/control/backend_registry';
import {group, host} from '../support/engine_plan';

const LAST_HEARD_MS = 400;

function create() {
  const clock = {time: 1_000, now: () => clock.time};
  const registry = BackendRegistry.create();
  ['a', 'b'].forEach(name => registry.record(host(name).registration, 900));
  const answering = new Set(['a:1']);
  const health = BackendHealth.create({
    poolSettings: {
      heartbeatMs: 1_200,
      stallMs: 5_000,
      orders: {
        send: () => Promise.resolve({outcome: 'begun'}),
        probe: address => Promise.resolve(answering.has(address)),
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
  const look = async (groups: Parameters<BackendHealth['refresh']>[0]) => {
    health.refresh(groups, clock.time);
    await new Promise(resolve => setImmediate(resolve));
    clock.time += 40;
  };
  return {clock, registry, answering, health, look};
}

test('a lost member stays lost once its group is gone', async () => {
  const {health, look} = create();
  await look([group(['a', 'b'])]);
  expect(health.isLost('b')).toBe(true);
  await look([]);
  expect(health.isLost('b')).toBe(true);
});

test('it is well again once it registers', async () => {
  const {clock, registry, health, look} = create();
  await look([group(['a', 'b'])]);
  registry.record(host('b', {sequence: 2}).registration, clock.time);
  await look([]);
  expect(health.isLost('b')).toBe(false);
});

test('it is well again once it answers', async () => {
  const {clock, answering, health, look} = create();
  await look([group(['a', 'b'])]);
  answering.add('b:1');
  clock.time += 1_000;
  await look([group(['a', 'b'])]);
  expect(health.isLost('b')).toBe(false);
});
