import {describe, expect, test} from 'vitest';
import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {BackendHealth} from '../../src/control/backend_health';
import {BackendRegistry} from '../../src/control/backend_registry';
import {HeadStopDetector} from '../../src/control/head_stop_detector';
import {TokenBucket} from '../../src/control/token_bucket';
import {OrderDispatcher} from '../../src/control/order_dispatcher';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EngineClient} from '../../src/protocol/engine_client';
import {
  PROFILE,
  createGroup,
  createHost,
  createGroupReport,
} from '../support/engine_plan';

type Order = Extract<EngineAction, {type: 'order'}>;
type Answer = Awaited<ReturnType<EngineClient['send']>>;

const STALL_MS = 5_000;
const HEARTBEAT_MS = 1_000;

/** A clock whose time tests set. */
class ManualClock implements Clock {
  time = 100_000;

  now(): number {
    return this.time;
  }
}

function createRegistry(
  clock: Clock,
  views = [createHost('a'), createHost('b')],
) {
  const registry = BackendRegistry.create();
  views.forEach(view => registry.record(view.registration, clock.now()));
  return registry;
}

/** Waits until callbacks of settled promises have run. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('the token bucket of loads', () => {
  test('allows no more loads than the rate and one full bucket', () => {
    const bucket = TokenBucket.create(3, 0);
    let taken = 0;
    for (let now = 0; now <= 5_000; now += 10) {
      taken += bucket.take(3, now) ? 1 : 0;
    }
    expect(taken).toBe(15);
  });

  test('is empty after a change of leaders, however long nothing was loaded', () => {
    const bucket = TokenBucket.create(3, 0);
    bucket.clear(60_000);
    expect(bucket.take(3, 60_000)).toBe(false);
  });
});

describe('orders to engines', () => {
  function create(hasServed: boolean) {
    const clock = new ManualClock();
    const sent: string[] = [];
    const answers: Answer[] = [];
    const expected: number[] = [];
    const events = EventRing.create();
    const orders: EngineClient = {
      send: ({incarnation, order, ordersTaken}) => {
        sent.push(`${order.kind} ${incarnation}`);
        expected.push(ordersTaken);
        return Promise.resolve(answers.shift() ?? {outcome: 'begun'});
      },
      probe: () => Promise.resolve(true),
    };
    const dispatcher = OrderDispatcher.create({
      poolSettings: {heartbeatMs: HEARTBEAT_MS, stallMs: STALL_MS, orders},
      runtime: {raft: {term: 3}} as unknown as RaftRuntime,
      registry: createRegistry(clock),
      gateways: {hasServed},
      clock,
      events,
    });
    const dispatch = async (order: Order) => {
      dispatcher.dispatch(order, PROFILE, clock.now());
      await flushPromises();
    };
    return {clock, sent, answers, expected, events, dispatcher, dispatch};
  }

  function createOrder(kind: Order['kind'], isLoad = false): Order {
    return {
      type: 'order',
      kind,
      incarnation: 'a',
      address: 'a:1',
      group: createGroup(['a', 'b']),
      model: 'low',
      isLoad,
      reason: 'test',
    };
  }

  test('the same order waits for its effect, a different one does not', async () => {
    const {sent, dispatch} = create(true);
    await dispatch(createOrder('join'));
    await dispatch(createOrder('join'));
    await dispatch(createOrder('open'));
    expect(sent).toEqual(['join a', 'open a']);
  });

  test('those to engines that are gone are dropped, others are kept', async () => {
    const {sent, dispatch, dispatcher} = create(true);
    await dispatch(createOrder('join'));
    dispatcher.retain(new Set(['a']));
    await dispatch(createOrder('join'));
    expect(sent).toEqual(['join a']);
    dispatcher.retain(new Set(['b']));
    await dispatch(createOrder('join'));
    expect(sent).toEqual(['join a', 'join a']);
  });

  test('an order that was refused as unfit is sent again after 200 ms', async () => {
    const {clock, sent, answers, dispatch} = create(true);
    answers.push({outcome: 'unfit'});
    await dispatch(createOrder('join'));
    clock.time += 100;
    await dispatch(createOrder('join'));
    clock.time += 150;
    await dispatch(createOrder('join'));
    expect(sent).toEqual(['join a', 'join a']);
  });

  test('an unanswered order is sent again soon', async () => {
    const {clock, sent, answers, dispatch} = create(true);
    answers.push({outcome: 'unanswered'});
    await dispatch(createOrder('leave'));
    clock.time += 500;
    await dispatch(createOrder('leave'));
    expect(sent).toEqual(['leave a', 'leave a']);
  });

  test('the event of an unanswered order says why', async () => {
    const {answers, events, dispatch} = create(true);
    answers.push({outcome: 'unanswered', failure: 'no whole answer'});
    await dispatch(createOrder('leave'));
    const [{type, details}] = events.listSince(0);
    expect(type).toBe('engine-order-unanswered');
    expect(details?.failure).toBe('no whole answer');
  });

  test('an order expects the count of the answer before it', async () => {
    const {answers, expected, dispatch} = create(true);
    answers.push({outcome: 'begun', ordersTaken: 5});
    await dispatch(createOrder('join'));
    await dispatch(createOrder('open'));
    expect(expected).toEqual([0, 5]);
  });

  test('an order after a refusal expects no count beyond the one that the engine reports', async () => {
    const {answers, expected, dispatch} = create(true);
    answers.push({outcome: 'begun', ordersTaken: 5}, {outcome: 'unfit'});
    await dispatch(createOrder('join'));
    await dispatch(createOrder('open'));
    await dispatch(createOrder('close'));
    expect(expected).toEqual([0, 5, 0]);
  });

  test('an order about a copy does not cause one about a group to be repeated', async () => {
    const {sent, dispatch} = create(false);
    await dispatch(createOrder('open'));
    await dispatch(createOrder('stage'));
    await dispatch(createOrder('open'));
    expect(sent).toEqual(['open a', 'stage a']);
  });

  test('a parked host gets no second order when the epoch for parking rises', async () => {
    const {clock, sent, dispatch} = create(true);
    const park = {...createOrder('join'), isParking: true};
    await dispatch(park);
    clock.time += 500;
    await dispatch({...park, group: createGroup(['a'], {epoch: 8})});
    expect(sent).toEqual(['join a']);
  });

  test('second copies leave capacity for hosts without weights', async () => {
    const {clock, sent, dispatcher, dispatch} = create(true);
    const loadOn = async (kind: Order['kind'], incarnation: string) => {
      clock.time += 1_000;
      await dispatch({...createOrder(kind, true), incarnation});
    };
    // The first order finds that requests are served now, which empties the bucket.
    await loadOn('stage', 'x');
    for (const incarnation of ['c1', 'c2', 'c3', 'c4']) {
      await loadOn('stage', incarnation);
    }
    expect(sent).toEqual(['stage c1', 'stage c2', 'stage c3']);

    for (const incarnation of ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']) {
      await loadOn('join', incarnation);
    }
    expect(sent.slice(3)).toHaveLength(6);
    expect(dispatcher.findLoadingModel('e6')).toBe('low');
  });

  // Guards against a host that stays idle for the length of a load that never began, and
  // against a place of the weight store that the load holds meanwhile.
  test('a load whose order was not answered is ordered again and takes one place', async () => {
    const {clock, sent, answers, dispatcher, dispatch} = create(true);
    const load = (incarnation: string) =>
      dispatch({
        ...createOrder('join', true),
        incarnation,
        isParking: true,
      });
    await load('none');
    clock.time += 1_000;
    answers.push({outcome: 'unanswered'}, {outcome: 'unanswered'});
    await load('a');
    expect(dispatcher.findLoadingModel('a')).toBeUndefined();
    clock.time += 500;
    await load('a');
    clock.time += 500;
    await load('a');
    expect(sent).toEqual(['join a', 'join a', 'join a']);
    expect(dispatcher.findLoadingModel('a')).toBe('low');

    for (const incarnation of ['b', 'c', 'd', 'e', 'f', 'g']) {
      clock.time += 500;
      await load(incarnation);
    }
    expect(sent.slice(3)).toEqual([
      'join b',
      'join c',
      'join d',
      'join e',
      'join f',
    ]);
  });

  test('a load whose order stays unanswered gives its place up', async () => {
    const {clock, sent, answers, dispatch} = create(true);
    const load = (incarnation: string) =>
      dispatch({...createOrder('join', true), incarnation, isParking: true});
    await load('none');
    for (const incarnation of ['a', 'b', 'c', 'd', 'e', 'f']) {
      clock.time += 500;
      answers.push({outcome: 'unanswered'});
      await load(incarnation);
    }
    clock.time += 3_500;
    await load('g');
    expect(sent.at(-1)).toBe('join g');
  });

  test('loads above the rate limit wait', async () => {
    const {clock, sent, dispatch} = create(true);
    await dispatch(createOrder('join', true));
    expect(sent).toEqual([]);
    clock.time += 1_000;
    await dispatch(createOrder('join', true));
    expect(sent).toEqual(['join a']);
  });
});

describe('a silent backend server', () => {
  function create(reports: {stalled?: string; answering?: string}) {
    const clock = new ManualClock();
    const registry = createRegistry(clock);
    const answering = new Set(['a:1', 'b:1']);
    const probed: string[] = [];
    const orders: EngineClient = {
      send: () => Promise.resolve({outcome: 'begun'}),
      probe: address => {
        probed.push(address.toString());
        return Promise.resolve(answering.has(address.toString()));
      },
    };
    const health = BackendHealth.create({
      poolSettings: {heartbeatMs: HEARTBEAT_MS, stallMs: STALL_MS, orders},
      clock,
      registry,
      events: EventRing.create(),
      gateways: {
        isReportedStalled: incarnation => incarnation === reports.stalled,
        findLastActivityAt: incarnation =>
          incarnation === reports.answering ? clock.now() : -Infinity,
      },
    });
    const refresh = async () => {
      health.refresh([createGroup(['a', 'b'])], clock.now());
      await flushPromises();
    };
    const countProbes = (address: string) =>
      probed.filter(other => other === address).length;
    return {clock, registry, answering, countProbes, health, refresh};
  }

  test('is lost after one failed probe if a gateway reports its group as stalled', async () => {
    const {answering, health, refresh} = create({stalled: 'a'});
    answering.delete('b:1');
    await refresh();
    expect([health.isLost('a'), health.isLost('b')]).toEqual([false, true]);
  });

  // A report of a stalled group is valid for two seconds, and all its members were probed
  // every 150 ms during that time, on a new connection each: 247 suspicions made 3,200 of
  // 4,711 probes in 12 s without faults, and most members had answered the first one.
  test('is probed less often once it has answered', async () => {
    const {clock, answering, countProbes, refresh} = create({stalled: 'a'});
    answering.delete('b:1');
    for (let passed = 0; passed < 2_000; passed += 40) {
      await refresh();
      clock.time += 40;
    }
    expect(countProbes('a:1')).toBeLessThanOrEqual(2);
    expect(countProbes('b:1')).toBeGreaterThanOrEqual(2);
  });

  test('is lost after two failed probes if only registrations are missing', async () => {
    const {clock, answering, health, refresh} = create({});
    answering.delete('b:1');
    clock.time += HEARTBEAT_MS * 3;
    await refresh();
    expect(health.isLost('b')).toBe(false);
    clock.time += 200;
    await refresh();
    expect(health.isLost('b')).toBe(true);
  });

  test('is not probed while a gateway hears from the head of its group', async () => {
    const {clock, answering, health, refresh} = create({answering: 'a'});
    answering.clear();
    clock.time += HEARTBEAT_MS * 10;
    await refresh();
    expect(health.isLost('b')).toBe(false);
  });

  test('recovers when it registers again', async () => {
    const {clock, registry, answering, health, refresh} = create({
      stalled: 'a',
    });
    answering.delete('b:1');
    await refresh();
    clock.time += 500;
    const {registration} = createHost('b', {sequence: 2});
    registry.record(registration, clock.now());
    health.refresh([], clock.now());
    expect(health.isLost('b')).toBe(false);
  });
});

describe('a silent head', () => {
  const ended = createGroup(['a', 'b'], {isEnding: true, isReleased: true});

  test('counts as stopped after the stall timeout of a released group', () => {
    const clock = new ManualClock();
    const headStops = HeadStopDetector.create(createRegistry(clock), STALL_MS);
    headStops.refresh([ended], 0);
    expect(headStops.isHeadStopped(ended, STALL_MS)).toBe(false);
    expect(headStops.isHeadStopped(ended, STALL_MS + 501)).toBe(true);
  });

  test('keeps its members as long as none of them has left', () => {
    const clock = new ManualClock();
    const views = [createHost('b', createGroupReport('ready', 1))];
    const headStops = HeadStopDetector.create(
      createRegistry(clock, views),
      STALL_MS,
    );
    const held = createGroup(['a', 'b'], {isEnding: true});
    headStops.refresh([held], 0);
    expect(headStops.hasDepartedMember(held)).toBe(false);
    expect(headStops.isHeadStopped(held, 10 * STALL_MS)).toBe(false);
  });

  test('counts as stopped when another incarnation has its address', () => {
    const clock = new ManualClock();
    const views = [createHost('z', {address: 'a:1'})];
    const headStops = HeadStopDetector.create(
      createRegistry(clock, views),
      STALL_MS,
    );
    expect(headStops.isHeadStopped(createGroup(['a', 'b']), 0)).toBe(true);
  });
});
