import {describe, expect, test} from 'vitest';
import {Clock} from '../../src/common/clock';
import {Attempt} from '../../src/gateway/attempt';
import {choosePool} from '../../src/gateway/choose_pool';
import {computeStallMs} from '../../src/gateway/compute_stall_ms';
import {EventStreamSplitter} from '../../src/gateway/event_stream_splitter';
import {PlaceForecast} from '../../src/gateway/place_forecast';
import {RepeatBudget} from '../../src/gateway/repeat_budget';
import {RouteIndex} from '../../src/gateway/route_index';
import {StallJudge} from '../../src/gateway/stall_judge';
import {TargetBoard} from '../../src/gateway/target_board';
import {computeDigest} from '../../src/protocol/compute_digest';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTarget} from '../../src/protocol/gateway_target';

/** A clock that a test sets. */
class HandClock implements Clock {
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

  test('know the workspace of a key', () => {
    expect(index.findWorkspace('key')?.name).toBe('w');
    expect(index.findWorkspace('other')).toBeUndefined();
    expect(index.findWorkspace(undefined)).toBeUndefined();
  });

  test('share requests out by weight and send none where it is 0', () => {
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

describe('what has stopped', () => {
  function create(
    quietMs: number,
    heardMsAgo: number,
    hasStarted = true,
    isPaused = false,
  ) {
    const clock = new HandClock();
    clock.time = 10_000;
    const board = TargetBoard.create('z', clock, () => 0);
    const target = {
      incarnation: 'i',
      pool: 'p',
      address: 'a:1',
      zone: 'z',
      slots: 2,
    };
    board.setTargets(new Map([['i', target]]));
    clock.time -= heardMsAgo;
    board.recordHeard('i');
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
      findUsualStartMs: () => 150,
      findLongestStartMs: () => 320,
    };
    return StallJudge.create(board, times).findStalled(attempt, clock.time);
  }

  test('is the backend server when nothing else comes from there either', () => {
    expect(create(150, 150)).toBe('target');
    expect(create(90, 150)).toBeUndefined();
  });

  test('is not the backend server when a first event may still be in its queue', () => {
    expect(create(250, 250, false)).toBeUndefined();
    expect(create(350, 350, false)).toBe('target');
  });

  test('is the connection when others hear from there, and no engine would take that long', () => {
    expect(create(630, 10)).toBeUndefined();
    expect(create(650, 10)).toBe('connection');
    // Its caller does not keep up, so nothing is read.
    expect(create(650, 10, true, true)).toBeUndefined();
  });
});

describe('the forecast of places', () => {
  test('tells each in line when its place falls free, by the newest ends', () => {
    const clock = new HandClock();
    const forecast = PlaceForecast.create(clock);
    const [first, second] = [{}, {}];
    expect(forecast.computeWaitMs('m', first)).toBe(Infinity);
    for (clock.time = 0; clock.time <= 300; clock.time += 100) {
      forecast.recordEnd('m');
    }
    // Four ends in 400 ms.
    expect(forecast.computeWaitMs('m', first)).toBe(100);
    forecast.join('m', first);
    expect(forecast.computeWaitMs('m', second)).toBe(200);
    expect(forecast.computeWaitMs('m', first)).toBe(100);
    forecast.leave('m', first);
    expect(forecast.computeWaitMs('m', second)).toBe(100);
  });

  test('rises while nothing ends, until it knows nothing', () => {
    const clock = new HandClock();
    const forecast = PlaceForecast.create(clock);
    forecast.recordEnd('m');
    clock.time = 2_000;
    expect(forecast.computeWaitMs('m', {})).toBe(2_000);
    clock.time = 3_000;
    expect(forecast.computeWaitMs('m', {})).toBe(Infinity);
  });

  test('knows how long the work of a route takes, on average and at most', () => {
    const forecast = PlaceForecast.create(new HandClock());
    expect(forecast.findWorkMs('r')).toBe(0);
    forecast.recordWork('r', 100);
    forecast.recordWork('r', 200);
    expect(forecast.findWorkMs('r')).toBe(110);
    expect(forecast.findLongestWorkMs('r')).toBe(200);
  });
});

test('a board knows how long the last lost group of a model was missing', () => {
  const clock = new HandClock();
  const board = TargetBoard.create('z', clock, () => 0);
  const place = {pool: 'p', address: 'a:1', zone: 'z', slots: 2, model: 'm'};
  const tell = (epoch?: number) =>
    board.setTargets(
      new Map(
        epoch === undefined ? [] : [['i', {incarnation: 'i', ...place, epoch}]],
      ),
    );
  tell(1);
  expect(board.findRepairMs('m')).toBe(0);
  tell();
  clock.time = 1_500;
  tell(2);
  expect(board.findRepairMs('m')).toBe(1_500);
  // The same engine in a new group: nothing was missing, now or later.
  clock.time = 2_000;
  tell(3);
  expect(board.findRepairMs('m')).toBe(0);
  tell();
  clock.time = 60_000;
  tell(4);
  expect(board.findRepairMs('m')).toBe(0);
});

describe('the budget of repeats', () => {
  const limits = {ratio: 0.5, windowMs: 1_000, slack: 10};

  test('is shared among the gateways and keeps a margin', () => {
    const clock = new HandClock();
    const budget = RepeatBudget.create(limits, clock, () => 5);
    let taken = 0;
    while (budget.takeRepeat()) {
      taken += 1;
    }
    // 10 for five gateways, and four fifths of that.
    expect(taken).toBe(1);
  });

  test('grows with requests and comes back with time', () => {
    const clock = new HandClock();
    const budget = RepeatBudget.create(limits, clock, () => 1);
    for (let count = 0; count < 10; count += 1) {
      budget.recordRequest();
    }
    let taken = 0;
    while (budget.takeRepeat()) {
      taken += 1;
    }
    expect(taken).toBe(12);
    clock.time = 1_200;
    expect(budget.takeRepeat()).toBe(true);
  });
});

describe('events of a stream', () => {
  test('are passed on whole, however they arrive', () => {
    const splitter = EventStreamSplitter.create();
    expect(splitter.split(Buffer.from('id: 1\nda'))).toEqual([]);
    const events = splitter.split(Buffer.from('ta: x\n\nid: 2\n\nid: 3\n'));
    expect(events.map(event => event.bytes.toString())).toEqual([
      'id: 1\ndata: x\n\n',
      'id: 2\n\n',
    ]);
    expect(events.map(event => event.id)).toEqual(['1', '2']);
    expect(splitter.pendingBytes).toBe(6);
  });

  test('may have other lines before their id', () => {
    const [event] = EventStreamSplitter.create().split(
      Buffer.from('weights: 3\nid: 9\ndata: id: 4\n\n'),
    );
    expect(event.id).toBe('9');
  });
});

describe('a stall', () => {
  test('is longer than the longest pass of a healthy engine', () => {
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
    // Four steps of 10 ms reading and 10 ms writing at half the time, and a quarter.
    expect(computeStallMs(engine, 'm')).toBe(50);
    expect(computeStallMs(undefined, 'm')).toBe(1_000);
  });
});

describe('the board of targets', () => {
  function target(
    incarnation: string,
    changes: Partial<GatewayTarget> = {},
  ): [string, GatewayTarget] {
    const place = {pool: 'p', address: `${incarnation}:1`, zone: 'z', slots: 2};
    return [incarnation, {incarnation, ...place, ...changes}];
  }

  function create(...targets: Array<[string, GatewayTarget]>) {
    const clock = new HandClock();
    const board = TargetBoard.create('z', clock, () => 0);
    board.setTargets(new Map(targets));
    const choose = (mayQueue = false, model?: string) =>
      board.choose({pool: 'p', model, mayQueue, excluded: new Set()})
        ?.incarnation;
    return {clock, board, choose};
  }

  test('sends to the least busy, and to its own zone between equals', () => {
    const {board, choose} = create(
      target('far', {zone: 'other'}),
      target('near'),
    );
    expect(choose()).toBe('near');
    board.recordStart('near', 100);
    expect(choose()).toBe('far');
  });

  test('counts what other gateways run', () => {
    const {board, choose} = create(target('a'), target('b'));
    board.setRunningElsewhere({a: 3});
    expect(choose()).toBe('b');
  });

  test('leaves an engine without a free place alone, unless it may queue', () => {
    const {board, choose} = create(target('a', {model: 'm'}));
    board.setRunningElsewhere({a: 2});
    expect(choose(false, 'm')).toBeUndefined();
    expect(choose(true, 'm')).toBe('a');
  });

  test('passes over what took no connection, for a while', () => {
    const {clock, board, choose} = create(target('a'));
    board.recordUnreachable('a');
    expect(choose()).toBeUndefined();
    clock.time = 1_001;
    expect(choose()).toBe('a');
  });

  test('tells control who stalls and who answers', () => {
    const {clock, board} = create(target('a'), target('b'));
    clock.time = 10;
    board.recordHeard('b');
    board.recordStalled('a');
    expect(board.listNews()).toMatchObject({stalled: ['a'], answering: ['b']});
    clock.time = 20;
    board.recordHeard('a');
    expect(board.listNews()).toMatchObject({
      stalled: [],
      answering: ['a', 'b'],
    });
  });

  test('says at once that a target stopped, and only once', () => {
    const told: string[] = [];
    const board = TargetBoard.create(
      'z',
      new HandClock(),
      () => 0,
      () => told.push('stalled'),
    );
    board.setTargets(new Map([target('a')]));
    board.recordStalled('a');
    board.recordStalled('a');
    expect(told).toEqual(['stalled']);
  });

  test('keeps what it knows of targets that stay', () => {
    const {board, choose} = create(target('a'), target('b'));
    board.recordStart('a', 100);
    board.setTargets(new Map([target('a'), target('c')]));
    expect(choose()).toBe('c');
  });
});
