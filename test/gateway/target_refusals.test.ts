import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {PROFILE} from '../support/engine_plan';

// Guards against sends that an engine refuses: 8 of 100 were, most of them with 421 by a group
// that had just closed. Only the refused request avoided the engine, and any change of the
// table listed it again.

const TARGET: GatewayTarget = {
  incarnation: 'i',
  pool: 'p',
  address: ServerAddress.parse('a:1'),
  zone: 'z',
  slots: 2,
  model: 'm',
  epoch: 7,
};

function create(targets: readonly GatewayTarget[] = [TARGET]) {
  const clock = {time: 0, now: () => clock.time};
  const events = EventRing.create();
  const calls: string[] = [];
  const balancer = LoadBalancer.create(
    'z',
    clock,
    () => 0.5,
    () => calls.push('changed'),
    undefined,
    events,
  );
  const list = (listed: readonly GatewayTarget[]) =>
    balancer.setTargets(
      new Map(listed.map(target => [target.incarnation, target])),
    );
  list(targets);
  const choose = (mayQueue = false, promptTokens = 0) =>
    balancer.choose({
      pool: 'p',
      model: 'm',
      engine: {...PROFILE, contextTokens: 1_000},
      promptTokens,
      mayQueue,
      excluded: new Set(),
    })?.incarnation;
  return {clock, events, calls, balancer, list, choose};
}

describe('a target that answered that it does not serve its group', () => {
  test('gets nothing more, also after a change of the table, and is reported at once', () => {
    const {balancer, calls, choose, list, events} = create();
    balancer.recordClosed(TARGET);
    expect(choose(true)).toBeUndefined();
    list([TARGET, {...TARGET, incarnation: 'j', model: 'other'}]);
    expect(choose(true)).toBeUndefined();
    expect(balancer.isOpen('i')).toBe(false);
    expect(balancer.describeHealth().closedHeads).toEqual([
      {incarnation: 'i', epoch: 7},
    ]);
    expect(calls).toEqual(['changed']);
    expect(events.listSince(0).map(({type}) => type)).toEqual(['send-refused']);
  });

  test('gets requests again as the head of another group, or after a while', () => {
    const {clock, balancer, choose, list} = create();
    balancer.recordClosed(TARGET);
    list([{...TARGET, epoch: 8}]);
    expect(choose()).toBe('i');
    list([TARGET]);
    balancer.recordClosed(TARGET);
    clock.time = 2_001;
    expect(choose()).toBe('i');
  });

  test('is not affected by a late answer about its former group', () => {
    const {balancer, choose, list} = create();
    list([{...TARGET, epoch: 8}]);
    balancer.recordClosed(TARGET);
    expect(choose()).toBe('i');
  });
});

describe('a target that refused a request as full', () => {
  test('gets no more until a slot is freed or the report is renewed', () => {
    const {clock, balancer, choose} = create();
    balancer.recordRequestStart('i', 10);
    balancer.recordFull('i');
    expect(choose()).toBeUndefined();
    balancer.recordRequestEnd('i', 10);
    expect(choose()).toBe('i');
    balancer.recordFull('i');
    clock.time = 301;
    expect(choose()).toBe('i');
  });
});

// A foreign answer to one request cleared the mark that the refusal of another had set.
test('a target that refused a request as full stays full when another response is rejected', () => {
  const {balancer, choose} = create();
  balancer.recordRequestStart('i', 10);
  balancer.recordFull('i');
  balancer.recordRequestEnd('i', 10, {wasRejected: true});
  expect(choose()).toBeUndefined();
});

describe('the memory of an engine', () => {
  test('is not exceeded by prompts and expected answers', () => {
    const {balancer, choose} = create([{...TARGET, slots: 34}]);
    balancer.recordRequestStart('i', 300);
    // Ten events of three tokens: the expected answer has 30 tokens.
    balancer.recordRequestEnd('i', 300, {events: 10});
    balancer.recordRequestStart('i', 300);
    expect(choose(false, 600)).toBe('i');
    expect(choose(false, 650)).toBeUndefined();
    // Requests of other gateways are assumed to be of the average size.
    balancer.setRunningElsewhere({i: 1}, 1);
    expect(choose(false, 311)).toBeUndefined();
    expect(choose(false, 310)).toBe('i');
  });

  test('is never sufficient for a prompt that is larger', () => {
    expect(create().choose(true, 1_001)).toBeUndefined();
    expect(create().choose(true, 1_000)).toBe('i');
  });
});

test('a freed slot is reported as taken while requests that wait here reuse it', () => {
  const {clock, balancer} = create();
  balancer.recordRequestStart('i', 10);
  balancer.recordRequestEnd('i', 10);
  expect(balancer.describeHealth().running).toEqual({i: 1});
  clock.time = 61;
  expect(balancer.describeHealth().running).toEqual({});
});
