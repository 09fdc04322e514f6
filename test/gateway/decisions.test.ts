import {describe, expect, test} from 'vitest';
import {ByteAccumulator} from '../../src/common/byte_accumulator';
import {Clock} from '../../src/common/clock';
import {ServerAddress} from '../../src/common/server_address';
import {Attempt} from '../../src/gateway/attempt';
import {choosePool} from '../../src/gateway/routing/choose_pool';
import {computeStallTimeoutMs} from '../../src/gateway/responses/compute_stall_timeout_ms';
import {SlotForecast} from '../../src/gateway/scheduling/slot_forecast';
import {RouteIndex} from '../../src/gateway/routing/route_index';
import {StallDetector} from '../../src/gateway/responses/stall_detector';
import {LoadBalancer} from '../../src/gateway/routing/load_balancer';
import {computeDigest} from '../../src/protocol/compute_digest';
import {EventStreamSplitter} from '../../src/protocol/event_stream_splitter';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTarget} from '../../src/protocol/gateway_target';

/** A clock that is set by the test. */
class ManualClock implements Clock {
  time = 0;

  now(): number {
    return this.time;
  }
}

function route(
  host: string,
  pathPrefix: string,
): GatewayRules['routes'][number] {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: 'safe',
    timeoutMs: 1,
    objectiveMs: 1,
    priority: 0,
    targets: [{pool: 'p', weight: 1}],
    maxAttempts: 1,
    isAnonymous: false,
    isResumable: false,
  };
}

describe('routes', () => {
  const index = RouteIndex.create({
    version: 1,
    routes: [route('H', '/a/'), route('h', '/a/b/'), route('h', '/')],
    pools: [],
    workspaces: [{name: 'w', keyHashes: [computeDigest('key')]}],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });

  test('are found by host and longest prefix', () => {
    expect(index.findRoute('h', '/a/b/c')?.pathPrefix).toBe('/a/b/');
    expect(index.findRoute('h', '/a/bc')?.pathPrefix).toBe('/a/');
    expect(index.findRoute('h', '/?q=/a/b/')?.pathPrefix).toBe('/');
    expect(index.findRoute('other', '/a/')).toBeUndefined();
  });

  test('find the workspace of a key', () => {
    expect(index.findWorkspace('key')?.name).toBe('w');
    expect(index.findWorkspace('other')).toBeUndefined();
    expect(index.findWorkspace(undefined)).toBeUndefined();
  });

  test('distribute requests by weight, and none to a pool of weight 0', () => {
    const targets = [
      {pool: 'a', weight: 3},
      {pool: 'b', weight: 0},
      {pool: 'c', weight: 1},
    ];
    const chosen = [0, 0.5, 0.74, 0.76, 0.99].map(random =>
      choosePool(targets, random),
    );
    expect(chosen).toEqual(['a', 'a', 'a', 'c', 'c']);
  });
});

describe('the stall detector', () => {
  function create(
    quietMs: number,
    heardMsAgo: number,
    hasStarted = true,
    isPaused = false,
  ) {
    const clock = new ManualClock();
    clock.time = 10_000;
    const balancer = LoadBalancer.create('z', clock, () => 0);
    const target = {
      incarnation: 'i',
      pool: 'p',
      address: ServerAddress.parse('a:1'),
      zone: 'z',
      slots: 2,
    };
    balancer.setTargets(new Map([['i', target]]));
    clock.time -= heardMsAgo;
    balancer.recordActivity('i');
    clock.time = 10_000;
    const attempt = {
      target,
      hasStarted,
      isWaiting: false,
      isPaused,
      quietSince: clock.time - quietMs,
    } as unknown as Attempt;
    const times = {
      stallMs: 100,
      findExpectedStartMs: () => 150,
      findLongestStartMs: () => 320,
    };
    return StallDetector.create(balancer, times).detectStall(
      attempt,
      clock.time,
    );
  }

  test('blames the backend server if its other streams are silent too', () => {
    expect(create(150, 150)).toBe('target');
    expect(create(90, 150)).toBeUndefined();
  });

  test('does not blame the backend server while a first event may be queued', () => {
    expect(create(250, 250, false)).toBeUndefined();
    expect(create(350, 350, false)).toBe('target');
  });

  test('blames the connection if other streams continue and the pause is too long for any engine', () => {
    expect(create(630, 10)).toBeUndefined();
    expect(create(650, 10)).toBe('connection');
    // A slow caller pauses reading.
    expect(create(650, 10, true, true)).toBeUndefined();
  });
});

describe('the slot forecast', () => {
  test('returns the average and longest time to the first event of a route', () => {
    const forecast = SlotForecast.create(new ManualClock());
    expect(forecast.findAverageFirstEventMs('r')).toBe(0);
    forecast.recordFirstEventMs('r', 100);
    forecast.recordFirstEventMs('r', 200);
    expect(forecast.findAverageFirstEventMs('r')).toBe(110);
    expect(forecast.findLongestFirstEventMs('r')).toBe(200);
  });
});

test('the load balancer measures how long the last lost group of a model was missing', () => {
  const clock = new ManualClock();
  const balancer = LoadBalancer.create('z', clock, () => 0);
  const fields = {
    pool: 'p',
    address: ServerAddress.parse('a:1'),
    zone: 'z',
    slots: 2,
    model: 'm',
  };
  const list = (epoch?: number) =>
    balancer.setTargets(
      new Map(
        epoch === undefined
          ? []
          : [['i', {incarnation: 'i', ...fields, epoch}]],
      ),
    );
  list(1);
  expect(balancer.findRepairMs('m')).toBe(0);
  list();
  clock.time = 1_500;
  list(2);
  expect(balancer.findRepairMs('m')).toBe(1_500);
  // The same engine is in a new group: no group was missing, now or later.
  clock.time = 2_000;
  list(3);
  expect(balancer.findRepairMs('m')).toBe(0);
  list();
  clock.time = 60_000;
  list(4);
  expect(balancer.findRepairMs('m')).toBe(0);
});

describe('events of a stream', () => {
  test('are split into complete events, however they arrive', () => {
    const splitter = EventStreamSplitter.create(ByteAccumulator.create());
    expect(splitter.split(Buffer.from('id: 1\nda'))).toEqual([]);
    const events = splitter.split(Buffer.from('ta: x\n\nid: 2\n\nid: 3\n'));
    expect(events.map(event => event.bytes.toString())).toEqual([
      'id: 1\ndata: x\n\n',
      'id: 2\n\n',
    ]);
    expect(events.map(event => event.id)).toEqual(['1', '2']);
    expect(splitter.pendingBytes).toBe(6);
  });

  test('may have other fields before their id', () => {
    const [event] = EventStreamSplitter.create(ByteAccumulator.create()).split(
      Buffer.from('weights: 3\nid: 9\ndata: id: 4\n\n'),
    );
    expect(event.id).toBe('9');
  });
});

describe('the stall timeout', () => {
  test('is longer than the longest step of a healthy engine', () => {
    const engine: GatewayRules['pools'][number]['engine'] = {
      models: [{name: 'm', size: 1, pace: 0.5, share: 1, loadMs: 1, warmMs: 1}],
      slots: 10,
      contextTokens: 1,
      stepMs: 5,
      stepMsPerRequest: 1,
      promptTokensPerSecond: 10_000,
      promptChunkTokens: 100,
      stepsPerEvent: 4,
      loadsPerSecond: 1,
      concurrentLoads: 1,
      keptModels: 1,
      openMs: 0,
    };
    // Four steps of 10 ms reading and 10 ms writing, at pace 0.5 and with a
    // safety factor of 1.25.
    expect(computeStallTimeoutMs(engine, 'm')).toBe(50);
    expect(computeStallTimeoutMs(undefined, 'm')).toBe(1_000);
  });
});

describe('the load balancer', () => {
  function target(
    incarnation: string,
    changes: Partial<GatewayTarget> = {},
  ): [string, GatewayTarget] {
    const fields = {
      pool: 'p',
      address: ServerAddress.parse(`${incarnation}:1`),
      zone: 'z',
      slots: 2,
    };
    return [incarnation, {incarnation, ...fields, ...changes}];
  }

  function create(...targets: Array<[string, GatewayTarget]>) {
    const clock = new ManualClock();
    const balancer = LoadBalancer.create('z', clock, () => 0);
    balancer.setTargets(new Map(targets));
    const choose = (mayQueue = false, model?: string) =>
      balancer.choose({pool: 'p', model, mayQueue, excluded: new Set()})
        ?.incarnation;
    return {clock, balancer, choose};
  }

  test('chooses the least loaded target, and prefers its own zone at equal load', () => {
    const {balancer, choose} = create(
      target('far', {zone: 'other'}),
      target('near'),
    );
    expect(choose()).toBe('near');
    balancer.recordRequestStart('near', 100);
    expect(choose()).toBe('far');
  });

  test('counts the requests of other gateways', () => {
    const {balancer, choose} = create(target('a'), target('b'));
    balancer.setRunningElsewhere({a: 3});
    expect(choose()).toBe('b');
  });

  test('skips an engine without a free slot unless the request may queue', () => {
    const {balancer, choose} = create(target('a', {model: 'm'}));
    balancer.setRunningElsewhere({a: 2});
    expect(choose(false, 'm')).toBeUndefined();
    expect(choose(true, 'm')).toBe('a');
  });

  test('skips an unreachable target for a while', () => {
    const {clock, balancer, choose} = create(target('a'));
    balancer.recordUnreachable('a');
    expect(choose()).toBeUndefined();
    clock.time = 1_001;
    expect(choose()).toBe('a');
  });

  test('reports stalled and active targets', () => {
    const {clock, balancer} = create(target('a'), target('b'));
    clock.time = 10;
    balancer.recordActivity('b');
    balancer.recordStalled('a');
    expect(balancer.describeHealth()).toMatchObject({
      stalled: ['a'],
      answering: ['b'],
    });
    clock.time = 20;
    balancer.recordActivity('a');
    expect(balancer.describeHealth()).toMatchObject({
      stalled: [],
      answering: ['a', 'b'],
    });
  });

  test('reports a stalled target at once, and only once', () => {
    const calls: string[] = [];
    const balancer = LoadBalancer.create(
      'z',
      new ManualClock(),
      () => 0,
      () => calls.push('stalled'),
    );
    balancer.setTargets(new Map([target('a')]));
    balancer.recordStalled('a');
    balancer.recordStalled('a');
    expect(calls).toEqual(['stalled']);
  });

  test('keeps the state of targets that remain', () => {
    const {balancer, choose} = create(target('a'), target('b'));
    balancer.recordRequestStart('a', 100);
    balancer.setTargets(new Map([target('a'), target('c')]));
    expect(choose()).toBe('c');
  });
});
