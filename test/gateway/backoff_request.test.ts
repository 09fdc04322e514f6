// Guards against sending to a backend server that refuses requests and asks for
// a backoff: as nothing ran there, it was the least loaded one and got every
// request.
import {afterEach, expect, test} from 'vitest';
import {RestartingBackends} from '../support/restarting_backends';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const BACKOFF_MS = 3_000;
/**
 * The backend server tolerates this many requests from here on until its
 * backoff is over.
 */
const TOLERATED_AFTER_MS = 500;
const TOLERATED_REQUESTS = 2;
const BETWEEN_CALLS_MS = 15;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

test('a backend server that asks for a backoff gets no requests that another one can take', async () => {
  const reached: number[] = [];
  const slots = await RestartingBackends.create({
    count: 2,
    handle: ({headers, socket}) => {
      const id = headers.get('request-id') ?? '';
      if (headers.get('incarnation')?.startsWith('s0')) {
        reached.push(performance.now());
        socket.write(
          `HTTP/1.1 503 Busy\r\nrequest-id: ${id}\r\nnot-run: 1\r\nrest-ms: ${BACKOFF_MS}\r\ncontent-length: 0\r\n\r\n`,
        );
        return;
      }
      socket.write(
        `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`,
      );
    },
    crashesOn: () => false,
    crashDelayMs: 0,
    restartDelayMs: 0,
  });
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {kind: 'safe', maxAttempts: 2},
    handle: () => undefined,
    restartingBackends: slots,
  });
  closers.push(async () => {
    slots.close();
    await fleet.close();
  });

  const statuses: number[] = [];
  let calls = 0;
  const timer = setInterval(() => {
    calls += 1;
    void fleet.call(0, `c${calls}`).then(({status}) => statuses.push(status));
  }, BETWEEN_CALLS_MS);
  const askedAt = await waitUntil('a refusal', async () => reached[0]);
  await waitUntil(
    'the end of the backoff',
    async () => performance.now() > askedAt + BACKOFF_MS,
  );
  clearInterval(timer);

  const within = reached.filter(
    at => at > askedAt + TOLERATED_AFTER_MS && at < askedAt + BACKOFF_MS,
  );
  expect(within.length).toBeLessThanOrEqual(TOLERATED_REQUESTS);
  await waitUntil('answers', async () => statuses.length === calls);
  expect(statuses.filter(status => status !== 200)).toEqual([]);
});
