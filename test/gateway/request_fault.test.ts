import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  refuseNotRun,
  resetConnection,
  sendOk,
  sendStream,
  startFixture,
} from '../support/backend_scripts';
import {FaultInjector} from '../support/fault_injector';
import {waitUntil} from '../support/wait_until';

type Fixture = Awaited<ReturnType<typeof startFixture>>['fixture'];
type Handlers = Parameters<typeof startFixture>[0];
type Route = Parameters<typeof startFixture>[1];
type Target = Parameters<typeof startFixture>[2];

/** More calls than any of these requests makes. */
const MAX_CALLS = 400;
const SETTLED_WITHIN_MS = 2_000;
const ENGINE = {model: 'm', epoch: 1};
const STREAM = {kind: 'stream', isResumable: true, maxAttempts: 3} as const;

/** Requests that backend servers began to run. */
let runs = 0;

/** Counts a run, and answers. */
function run(answer: Handlers[number]): Handlers[number] {
  return arrived => {
    runs += 1;
    answer(arrived);
  };
}

/** Refuses the first request, and answers those after it. */
function refuseOnce(): Handlers[number] {
  let isFirst = true;
  return arrived => {
    const answer = isFirst ? refuseNotRun : run(sendOk('again'));
    isFirst = false;
    answer(arrived);
  };
}

const WAYS: Array<[string, () => Handlers, Route, Target]> = [
  ['answered', () => [run(sendOk('whole'))], {}, {}],
  ['moved after a refusal', () => [refuseNotRun, run(sendOk('next'))], {}, {}],
  ['refused everywhere', () => [refuseNotRun, refuseNotRun], {}, {}],
  [
    'moved after a reset',
    () => [run(resetConnection), run(sendOk('next'))],
    {},
    {},
  ],
  ['broken off', () => [run(resetConnection)], {kind: 'unsafe'}, {}],
  ['timed out', () => [run(() => undefined)], {timeoutMs: 40}, {}],
  ['in the queue of an engine', () => [refuseOnce()], {}, ENGINE],
  ['a stream', () => [run(sendStream('s', [1, 2], 'whole'))], STREAM, ENGINE],
  [
    'a resumed stream',
    () => [
      run(sendStream('s', [1], 'reset')),
      run(sendStream('s', [2], 'whole')),
    ],
    STREAM,
    {},
  ],
];

describe('an error on the way of one request ends nothing else', () => {
  const uncaught: Error[] = [];
  const record = (error: Error) => uncaught.push(error);

  beforeEach(() => {
    uncaught.length = 0;
    process.on('uncaughtException', record);
    process.on('unhandledRejection', record);
  });
  afterEach(() => {
    process.removeListener('uncaughtException', record);
    process.removeListener('unhandledRejection', record);
  });

  test.each(WAYS)('%s, at each call in turn', async (_, way, route, target) => {
    const thrownAt = new Set<string>();
    for (const moment of ['before', 'after'] as const) {
      for (let at = 1; at < MAX_CALLS; at += 1) {
        const injector = FaultInjector.create();
        runs = 0;
        const {fixture, backends} = await startFixture(way(), route, target);
        fixture.wrap = dependency => injector.wrap(dependency);
        injector.arm(at, moment);
        const received = await fixture
          .send({}, 'order')
          .catch(() => ({status: 0, headers: {} as Record<string, string>}));
        const {thrownAt: name} = injector;
        injector.disarm();
        const what = `${moment} call ${at}, ${name}`;
        // Nothing was thrown: the request makes fewer calls.
        if (name === undefined) {
          break;
        }
        thrownAt.add(name);
        expect(uncaught, what).toEqual([]);
        // None of a request that failed before it was begun.
        expect(fixture.results.length, what).toBeLessThanOrEqual(1);
        expect([0, 200, 502, 503, 504], what).toContain(received.status);
        // Status 503 promises that nothing ran.
        expect(received.status === 503 && runs > 0, what).toBe(false);
        await checkReturned(fixture, backends.length, what);
        backends.forEach(backend => backend.close());
        await fixture.close();
      }
    }
    expect(thrownAt.size).toBeGreaterThan(10);
  });

  async function checkReturned(
    fixture: Fixture,
    backends: number,
    what: string,
  ): Promise<void> {
    for (let at = 0; at < backends; at += 1) {
      const count = () => fixture.balancer.countRunning(`i${at}`);
      await waitUntil(
        `${what}: no slot taken`,
        () => count() === 0,
        SETTLED_WITHIN_MS,
      );
    }
    expect(fixture.responseMemory.usedBytes, what).toBe(0);
    expect(fixture.queue.size, what).toBe(0);
    const types = fixture.events.listSince(0).map(({type}) => type);
    expect(types, what).toContain('request-fault');
  }
});

test.each([
  ['workspace', 'a\nb'],
  ['host', '['],
])(
  'a request with the header %s as %j does not make its backend server unreachable',
  async (...header) => {
    const {fixture} = await startFixture([sendOk('whole')]);
    fixture.wrap = dependency =>
      'createHeaders' in dependency
        ? {...dependency, createHeaders: () => header}
        : dependency;
    const invalid = await fixture.send();
    fixture.wrap = dependency => dependency;

    expect(invalid.status).toBe(503);
    expect(Number(invalid.headers['retry-after'])).toBeGreaterThan(0);
    expect((await fixture.send()).status).toBe(200);
  },
);
