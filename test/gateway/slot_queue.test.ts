import {describe, expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {AdmissionSource} from '../../src/gateway/scheduling/admission_source';
import {QueuedRequest} from '../../src/gateway/scheduling/queued_request';
import {SlotQueue} from '../../src/gateway/scheduling/slot_queue';
import {SlotQueues} from '../../src/gateway/scheduling/slot_queues';
import {createQueuedRequest} from '../support/create_queued_request';
import {ENGINE_PROFILE} from '../support/engine_profile';

const TARGET = {
  incarnation: 'i',
  pool: 'p',
  address: ServerAddress.parse('a:1'),
  zone: 'z',
  slots: 34,
  model: 'm',
  epoch: 1,
};

const NONE_FREE = () => ({freeSlots: 0, running: 0});

function create(admissions?: AdmissionSource) {
  const clock = {time: 0, now: () => clock.time};
  const engine = {slots: 34, free: 0, running: 34};
  const sent: string[] = [];
  const queue = SlotQueue.create(
    {clock, pool: 'p', model: 'm', admissions},
    ENGINE_PROFILE,
  );
  const load = () => ({freeSlots: engine.free, running: engine.running});
  const join = (name: string, changes: Partial<QueuedRequest> = {}) => {
    const request = createQueuedRequest({
      latestStartAt: 10_000,
      expiresAt: 20_000,
      findTarget: () => (engine.free > 0 ? TARGET : undefined),
      send: () => {
        engine.free -= 1;
        engine.running += 1;
        sent.push(name);
      },
      ...changes,
    });
    queue.recordArrival(request.urgency);
    queue.join(request);
    return request;
  };
  return {clock, engine, queue, sent, join, serve: () => queue.serve(load)};
}

describe('a queue', () => {
  test('keeps a slot free for an expected more urgent request', () => {
    // Guards against urgent requests that find all slots taken by less urgent ones.
    const {engine, sent, join, serve} = create();
    engine.free = 2;
    join('urgent');
    serve();
    join('later', {urgency: 1});
    serve();
    expect(sent).toEqual(['urgent']);
    join('urgent again');
    serve();
    expect(sent).toEqual(['urgent', 'urgent again']);
  });

  test('reserves nothing where all requests are equally urgent', () => {
    const {engine, sent, join, serve} = create();
    engine.free = 2;
    ['a', 'b', 'c'].forEach(name => join(name));
    serve();
    expect(sent).toEqual(['a', 'b']);
  });

  test('holds requests that the leader does not admit, and refuses new ones', () => {
    let admittedUrgency: number | null = 0;
    const {engine, queue, sent, join, serve} = create({
      findAdmission: (pool, model) => ({
        pool,
        model,
        admittedUrgency,
        arrivals: [],
      }),
    });
    engine.free = 30;
    const held = join('held', {urgency: 1});
    join('admitted');
    serve();
    expect(sent).toEqual(['admitted']);
    expect(queue.estimate(held, NONE_FREE).canWait).toBe(false);
    admittedUrgency = null;
    serve();
    expect(sent).toEqual(['admitted', 'held']);
  });

  test('does not send a promised request later because of what is reserved', () => {
    const {clock, engine, sent, join, serve} = create();
    engine.free = 1;
    join('urgent', {findTarget: () => undefined, latestStartAt: -1});
    join('promised', {urgency: 1, latestStartAt: -1, expiresAt: 1_000});
    clock.time = 900;
    serve();
    expect(sent).toEqual(['promised']);
  });

  test('estimates waits by its running requests and their mean duration', () => {
    // Guards against the freed slots of the last seconds, which are noise at the rates of one gateway.
    const {clock, queue} = create();
    const first = {};
    queue.recordStart(first, 'i 1');
    clock.time = 1_000;
    queue.recordEnd(first, 20);
    for (let count = 0; count < 9; count += 1) {
      queue.recordStart({}, 'i 1');
    }
    const estimate = queue.estimate(createQueuedRequest(), NONE_FREE);
    expect(estimate).toMatchObject({ahead: 0, running: 9, slotMs: 1_000});
    expect(estimate.waitMs).toBeCloseTo(100);
  });

  test('reports waiting requests, arrivals and refusals by urgency', () => {
    const clock = {time: 0, now: () => clock.time};
    const queues = SlotQueues.create(clock);
    expect(queues.describe()).toEqual([]);
    const queue = queues.get({pool: 'p', model: 'm', engine: ENGINE_PROFILE});
    queue.recordArrival(2);
    queue.recordArrival(1);
    queue.join(createQueuedRequest({urgency: 2}));
    queue.recordRefusal(1, 500);
    clock.time = 100;

    expect(queues.describe()).toEqual([
      {
        pool: 'p',
        model: 'm',
        levels: [
          expect.objectContaining({urgency: 1, waiting: 0, refusedMsAgo: 100}),
          expect.objectContaining({urgency: 2, waiting: 1}),
        ],
      },
    ]);
    expect(queues.describe()[0].levels[0].requestsPerSecond).toBeGreaterThan(0);
  });

  test('sends no further request to an engine that refused one until it frees a slot there', () => {
    // Guards against sending the whole queue to an engine whose slots are overestimated.
    const {clock, engine, queue, join, serve} = create();
    engine.free = 10;
    const tried: string[][] = [];
    const findTarget = (full: readonly string[]) => {
      tried.push([...full]);
      return full.length === 0 ? TARGET : undefined;
    };
    const running = {};
    queue.recordStart(running, 'i 1');
    const refused = {};
    queue.recordStart(refused, 'i 1');
    queue.recordNotRun(refused, 0, true);
    join('a', {findTarget});
    serve();
    expect(tried).toEqual([['i 1']]);
    queue.recordEnd(running, 20);
    serve();
    expect(tried).toEqual([['i 1'], []]);
    clock.time = 10_000;
  });

  test('uses other engines after an attempt that did not run for another reason than a full engine', () => {
    // Guards against a pause of all engines of a model after one of its groups has closed.
    const {queue, join, serve} = create();
    const tried: string[][] = [];
    const first = {};
    const closed = {};
    queue.recordStart(first, 'i 1');
    queue.recordEnd(first, 20);
    queue.recordStart(closed, 'i 1');
    queue.recordNotRun(closed, 0, false);
    join('a', {
      findTarget: full => {
        tried.push([...full]);
        return undefined;
      },
    });
    serve();

    expect(tried).toEqual([[]]);
  });

  test('lets a request wait for a slot that is known to be free, on a gateway that runs few', () => {
    // Guards against refusing callers of a quiet gateway while engines have free slots.
    const {queue} = create();
    const request = createQueuedRequest({expiresAt: 500});
    const estimate = (freeSlots: number) =>
      queue.estimate(request, () => ({freeSlots, running: 200}));

    expect(estimate(0).canWait).toBe(false);
    expect(estimate(1)).toMatchObject({canWait: true, ahead: 0});
  });
});
