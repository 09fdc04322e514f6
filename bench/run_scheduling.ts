/** Prints the cost of scheduling one request at a gateway, by the number of waiting requests and of workspaces. */
import {performance} from 'node:perf_hooks';
import {ServerAddress} from '../src/common/server_address';
import {QueuedRequest} from '../src/gateway/scheduling/queued_request';
import {SlotQueue} from '../src/gateway/scheduling/slot_queue';
import {createQueuedRequest} from '../test/support/create_queued_request';
import {createRandom} from '../test/support/create_random';
import {ENGINE_PROFILE} from '../test/support/engine_profile';

const ROUNDS = 20_000;
const WAITING = [10, 200, 2_000];
const WORKSPACES = [1, 20, 2_000];
const URGENCIES = 3;
/** Between two arrivals. */
const INTERVAL_MS = 0.5;
/** Requests that run: they free slots a little faster than requests arrive. */
const RUNNING = 4_000;
const US_PER_MS = 1_000;
const TARGET = {
  incarnation: 'i',
  pool: 'p',
  address: ServerAddress.parse('a:1'),
  zone: 'z',
  slots: 34,
  model: 'm',
};

/** Measures a request that arrives and is placed in the queue, and one that takes a freed slot. */
function measure(waiting: number, workspaces: number): number {
  const random = createRandom(1);
  const clock = {time: 0, now: () => clock.time};
  const queue = SlotQueue.create(
    {clock, pool: 'p', model: 'm'},
    ENGINE_PROFILE,
  );
  let freeSlots = 0;
  const load = () => ({freeSlots, running: 100});
  const draw = (): QueuedRequest =>
    createQueuedRequest({
      urgency: Math.floor(random() * URGENCIES),
      workspace: `w${Math.floor(random() * workspaces)}`,
      workMs: 5 + random() * 50,
      latestStartAt: clock.time + random() * 400,
      expiresAt: clock.time + 2_000,
      findTarget: () => (freeSlots > 0 ? TARGET : undefined),
      send: () => (freeSlots -= 1),
    });
  const arrive = () => {
    const request = draw();
    queue.recordArrival(request.urgency);
    queue.estimate(request, load);
    queue.join(request);
    queue.serve(load);
  };
  for (let count = 0; count < RUNNING; count += 1) {
    queue.recordStart({}, 'i');
  }
  for (let count = 0; count < waiting; count += 1) {
    arrive();
  }
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    clock.time += INTERVAL_MS;
    arrive();
    // Above the slots that are reserved for more urgent requests.
    freeSlots = 1;
    queue.serve(() => ({freeSlots: 34, running: 100}));
  }
  if (Math.abs(queue.size - waiting) > waiting / 10 + 2) {
    throw new Error(`${queue.size} requests wait instead of ${waiting}`);
  }
  return ((performance.now() - startedAt) / ROUNDS) * US_PER_MS;
}

// The first run also compiles the code.
measure(WAITING[0], WORKSPACES[0]);
for (const waiting of WAITING) {
  for (const workspaces of WORKSPACES) {
    const tookUs = measure(waiting, workspaces);
    console.log(
      `${waiting} waiting, ${workspaces} workspaces: ${tookUs.toFixed(1)} us for each request`,
    );
  }
}
