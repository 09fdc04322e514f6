// A backend server that turned requests away and asked for rest had nothing running, so that it got every next request, too.
import {afterEach, expect, test} from 'vitest';
import {BackendSlots} from '../support/backend_slots';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const REST_MS = 3_000;
/** What a backend server bears from here on until its rest is over. */
const BORNE_AFTER_MS = 500;
const BORNE_REQUESTS = 2;
const BETWEEN_CALLS_MS = 15;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

test('a backend server that asks for rest gets none of the requests that another one can take', async () => {
  const reached: number[] = [];
  const slots = await BackendSlots.create({
    count: 2,
    handle: ({headers, socket}) => {
      const id = headers.get('request-id') ?? '';
      if (headers.get('incarnation')?.startsWith('s0')) {
        reached.push(performance.now());
        socket.write(
          `HTTP/1.1 503 Busy\r\nrequest-id: ${id}\r\nnot-run: 1\r\nrest-ms: ${REST_MS}\r\ncontent-length: 0\r\n\r\n`,
        );
        return;
      }
      socket.write(
        `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`,
      );
    },
    endsUnder: () => false,
    endsAfterMs: 0,
    backAfterMs: 0,
  });
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {kind: 'safe', maxAttempts: 2},
    handle: () => undefined,
    slots,
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
    'the end of the rest',
    async () => performance.now() > askedAt + REST_MS,
  );
  clearInterval(timer);

  const within = reached.filter(
    at => at > askedAt + BORNE_AFTER_MS && at < askedAt + REST_MS,
  );
  expect(within.length).toBeLessThanOrEqual(BORNE_REQUESTS);
  await waitUntil('answers', async () => statuses.length === calls);
  expect(statuses.filter(status => status !== 200)).toEqual([]);
});
