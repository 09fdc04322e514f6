import {describe, expect, test} from 'vitest';
import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {BackendHealth} from '../../src/control/backend_health';
import {BackendRegistry} from '../../src/control/backend_registry';
import {HeadRelease} from '../../src/control/head_release';
import {LoadAllowance} from '../../src/control/load_allowance';
import {OrderDispatcher} from '../../src/control/order_dispatcher';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EngineClient} from '../../src/protocol/engine_client';
import {PROFILE, group, host, told} from '../support/engine_plan';

type Order = Extract<EngineAction, {type: 'order'}>;
type Answer = Awaited<ReturnType<EngineClient['send']>>;

const STALL_MS = 5_000;
const HEARTBEAT_MS = 1_000;

/** A clock that a test sets. */
class HandClock implements Clock {
  time = 100_000;

  now(): number {
    return this.time;
  }
}

function createRegistry(clock: Clock, views = [host('a'), host('b')]) {
  const registry = BackendRegistry.create();
  views.forEach(view => registry.record(view.registration, clock.now()));
  return registry;
}

/** Lets promises that are settled take effect. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('the allowance of loads', () => {
  test('never lets more begin than the limit and one bucket', () => {
    const allowance = LoadAllowance.create(3, 0);
    let taken = 0;
    for (let now = 0; now <= 5_000; now += 10) {
      taken += allowance.take(3, now) ? 1 : 0;
    }
    expect(taken).toBe(15);
  });

  test('is empty for a new leader, however long nothing was loaded', () => {
    const allowance = LoadAllowance.create(3, 0);
    allowance.clear(60_000);
    expect(allowance.take(3, 60_000)).toBe(false);
  });
});

describe('orders to engines', () => {
  function create(hasServed: boolean) {
    const clock = new HandClock();
    const sent: string[] = [];
    const answers: Answer[] = [];
    const expected: number[] = [];
    const orders: EngineClient = {
      send: ({incarnation, order, ordersTaken}) => {
        sent.push(`${order.kind} ${incarnation}`);
        expected.push(ordersTaken);
        return Promise.resolve(answers.shift() ?? {outcome: 'begun'});
      },
      probe: () => Promise.resolve(true),
    };
    const dispatcher = OrderDispatcher.create({
      duties: {heartbeatMs: HEARTBEAT_MS, stallMs: STALL_MS, orders},
      runtime: {raft: {term: 3}} as unknown as RaftRuntime,
      registry: createRegistry(clock),
      desk: {hasServed},
      clock,
      events: EventRing.create(),
    });
    const give = async (order: Order) => {
      dispatcher.give(order, PROFILE, clock.now());
      await settle();
    };
    return {clock, sent, answers, expected, dispatcher, give};
  }

  function createOrder(kind: Order['kind'], isLoad = false): Order {
    return {
      type: 'order',
      kind,
      incarnation: 'a',
      address: 'a:1',
      group: group(['a', 'b']),
      model: 'low',
      isLoad,
      reason: 'test',
    };
  }

  test('the same one waits for its effect, another one does not', async () => {
    const {sent, give} = create(true);
    await give(createOrder('join'));
    await give(createOrder('join'));
    await give(createOrder('open'));
    expect(sent).toEqual(['join a', 'open a']);
  });

  test('to an engine that is gone are forgotten, to others not', async () => {
    const {sent, give, dispatcher} = create(true);
    await give(createOrder('join'));
    dispatcher.retain(new Set(['a']));
    await give(createOrder('join'));
    expect(sent).toEqual(['join a']);
    dispatcher.retain(new Set(['b']));
    await give(createOrder('join'));
    expect(sent).toEqual(['join a', 'join a']);
  });

  test('one that does not fit yet is given again soon', async () => {
    const {clock, sent, answers, give} = create(true);
    answers.push({outcome: 'unfit'});
    await give(createOrder('join'));
    clock.time += 100;
    await give(createOrder('join'));
    clock.time += 150;
    await give(createOrder('join'));
    expect(sent).toEqual(['join a', 'join a']);
  });

  test('one without an answer is given again before its effect could be missed', async () => {
    const {clock, sent, answers, give} = create(true);
    answers.push({outcome: 'unanswered'});
    await give(createOrder('leave'));
    clock.time += 500;
    await give(createOrder('leave'));
    expect(sent).toEqual(['leave a', 'leave a']);
  });

  test('the next one expects what the answer before told', async () => {
    const {answers, expected, give} = create(true);
    answers.push({outcome: 'begun', ordersTaken: 5});
    await give(createOrder('join'));
    await give(createOrder('open'));
    expect(expected).toEqual([0, 5]);
  });

  test('one after a refusal expects only what the engine reports', async () => {
    const {answers, expected, give} = create(true);
    answers.push({outcome: 'begun', ordersTaken: 5}, {outcome: 'unfit'});
    await give(createOrder('join'));
    await give(createOrder('open'));
    await give(createOrder('close'));
    expect(expected).toEqual([0, 5, 0]);
  });

  test('one about a copy does not let the one about a group be given again', async () => {
    const {sent, give} = create(false);
    await give(createOrder('open'));
    await give(createOrder('stage'));
    await give(createOrder('open'));
    expect(sent).toEqual(['open a', 'stage a']);
  });

  test('a parked host is not told again when the epoch for parking rises', async () => {
    const {clock, sent, give} = create(true);
    const park = {...createOrder('join'), isParking: true};
    await give(park);
    clock.time += 500;
    await give({...park, group: group(['a'], {epoch: 8})});
    expect(sent).toEqual(['join a']);
  });

  test('second copies leave room for hosts that have no weights', async () => {
    const {clock, sent, dispatcher, give} = create(true);
    const loadOn = async (kind: Order['kind'], incarnation: string) => {
      clock.time += 1_000;
      await give({...createOrder(kind, true), incarnation});
    };
    // The first look finds that requests are served and empties the allowance.
    await loadOn('stage', 'x');
    for (const incarnation of ['c1', 'c2', 'c3', 'c4']) {
      await loadOn('stage', incarnation);
    }
    expect(sent).toEqual(['stage c1', 'stage c2', 'stage c3']);

    for (const incarnation of ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']) {
      await loadOn('join', incarnation);
    }
    expect(sent.slice(3)).toHaveLength(6);
    expect(dispatcher.findLoading('e6')).toBe('low');
  });

  test('loads beyond the limit wait', async () => {
    const {clock, sent, give} = create(true);
    await give(createOrder('join', true));
    expect(sent).toEqual([]);
    clock.time += 1_000;
    await give(createOrder('join', true));
    expect(sent).toEqual(['join a']);
  });
});

describe('the judgement of silent backend servers', () => {
  function create(words: {stalled?: string; answering?: string}) {
    const clock = new HandClock();
    const registry = createRegistry(clock);
    const answering = new Set(['a:1', 'b:1']);
    const asked: string[] = [];
    const orders: EngineClient = {
      send: () => Promise.resolve({outcome: 'begun'}),
      probe: address => {
        asked.push(address);
        return Promise.resolve(answering.has(address));
      },
    };
    const health = BackendHealth.create({
      duties: {heartbeatMs: HEARTBEAT_MS, stallMs: STALL_MS, orders},
      clock,
      registry,
      events: EventRing.create(),
      desk: {
        isStalled: incarnation => incarnation === words.stalled,
        findHeardAt: incarnation =>
          incarnation === words.answering ? clock.now() : -Infinity,
      },
    });
    const refresh = async () => {
      health.refresh([group(['a', 'b'])], clock.now());
      await settle();
    };
    const countAsked = (address: string) =>
      asked.filter(other => other === address).length;
    return {clock, registry, answering, countAsked, health, refresh};
  }

  test('one question is enough where a gateway says that the group stalled', async () => {
    const {answering, health, refresh} = create({stalled: 'a'});
    answering.delete('b:1');
    await refresh();
    expect([health.isLost('a'), health.isLost('b')]).toEqual([false, true]);
  });

  // A gateway's word counts for two seconds, and each member of its group was asked
  // every 150 ms as long, on a new connection each: 247 doubts made 3,200 of 4,711
  // checks in 12 s of a calm day, and most members had answered the first.
  test('those that answer are asked again only after a while', async () => {
    const {clock, answering, countAsked, refresh} = create({stalled: 'a'});
    answering.delete('b:1');
    for (let passed = 0; passed < 2_000; passed += 40) {
      await refresh();
      clock.time += 40;
    }
    expect(countAsked('a:1')).toBeLessThanOrEqual(2);
    expect(countAsked('b:1')).toBeGreaterThanOrEqual(2);
  });

  test('two are needed where only registrations are missing', async () => {
    const {clock, answering, health, refresh} = create({});
    answering.delete('b:1');
    clock.time += HEARTBEAT_MS * 3;
    await refresh();
    expect(health.isLost('b')).toBe(false);
    clock.time += 200;
    await refresh();
    expect(health.isLost('b')).toBe(true);
  });

  test('nobody is asked while a gateway hears from the head', async () => {
    const {clock, answering, health, refresh} = create({answering: 'a'});
    answering.clear();
    clock.time += HEARTBEAT_MS * 10;
    await refresh();
    expect(health.isLost('b')).toBe(false);
  });

  test('a loss ends with a word of the backend server itself', async () => {
    const {clock, registry, answering, health, refresh} = create({
      stalled: 'a',
    });
    answering.delete('b:1');
    await refresh();
    clock.time += 500;
    const {registration} = host('b', {sequence: 2});
    registry.record(registration, clock.now());
    health.refresh([], clock.now());
    expect(health.isLost('b')).toBe(false);
  });
});

describe('a silent head', () => {
  const ended = group(['a', 'b'], {isEnding: true, isReleased: true});

  test('counts on nobody once the time is over that a stalled group has', () => {
    const clock = new HandClock();
    const release = HeadRelease.create(createRegistry(clock), STALL_MS);
    release.refresh([ended], 0);
    expect(release.isLetGo(ended, STALL_MS)).toBe(false);
    expect(release.isLetGo(ended, STALL_MS + 501)).toBe(true);
  });

  test('holds its members as long as none of them has left', () => {
    const clock = new HandClock();
    const views = [host('b', told('ready', 1))];
    const release = HeadRelease.create(createRegistry(clock, views), STALL_MS);
    const held = group(['a', 'b'], {isEnding: true});
    release.refresh([held], 0);
    expect(release.hasLeaver(held)).toBe(false);
    expect(release.isLetGo(held, 10 * STALL_MS)).toBe(false);
  });

  test('is gone when another start has its address', () => {
    const clock = new HandClock();
    const views = [host('z', {address: 'a:1'})];
    const release = HeadRelease.create(createRegistry(clock, views), STALL_MS);
    expect(release.isLetGo(group(['a', 'b']), 0)).toBe(true);
  });
});
