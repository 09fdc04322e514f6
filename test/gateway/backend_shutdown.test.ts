// Guards against new requests to a backend server that announced its shutdown
// in its responses: they continued until the control plane learned of it from
// the backend server itself.
import {afterEach, expect, test} from 'vitest';
import {encodeChunk, encodeEvents} from '../support/backend_scripts';
import {RestartingBackends} from '../support/restarting_backends';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const GATEWAYS = 3;
/** Every gateway knows within this time what one of them received. */
const KNOWN_WITHIN_MS = 1_000;
const OBSERVED_MS = 1_000;
const EVENTS = 6;
const BETWEEN_EVENTS_MS = 250;
const BETWEEN_CALLS_MS = 30;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

test('a backend server that announces its shutdown gets no new requests and completes those it has', async () => {
  const reached: number[] = [];
  const slots = await RestartingBackends.create({
    count: 2,
    handle: ({headers, socket}) => {
      const id = headers.get('request-id') ?? '';
      const isLeaving = headers.get('incarnation')?.startsWith('s0');
      if (isLeaving) {
        reached.push(performance.now());
      }
      const header = isLeaving ? 'leaving: 1\r\n' : '';
      socket.write(
        `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\n${header}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
      );
      for (let at = 1; at <= EVENTS; at += 1) {
        const last = at === EVENTS ? '0\r\n\r\n' : '';
        setTimeout(
          () => socket.write(encodeChunk(encodeEvents(at)) + last),
          (at - 1) * BETWEEN_EVENTS_MS,
        );
      }
    },
    crashesOn: () => false,
    crashDelayMs: 0,
    restartDelayMs: 0,
  });
  const fleet = await GatewayFleet.create({
    gateways: GATEWAYS,
    stopWithinMs: 8_000,
    route: {},
    handle: () => undefined,
    restartingBackends: slots,
  });
  closers.push(async () => {
    slots.close();
    await fleet.close();
  });

  const views: Array<{status: number; isWhole: boolean}> = [];
  let calls = 0;
  const timer = setInterval(() => {
    calls += 1;
    void fleet
      .call(calls % GATEWAYS, `c${calls}`)
      .then(view => views.push(view));
  }, BETWEEN_CALLS_MS);
  const firstAt = await waitUntil('a stream there', async () => reached[0]);
  const observedFrom = firstAt + KNOWN_WITHIN_MS;
  await waitUntil(
    'the end of the observation',
    async () => performance.now() > observedFrom + OBSERVED_MS,
  );
  clearInterval(timer);

  expect(reached.filter(at => at > observedFrom)).toEqual([]);
  await waitUntil('answers', async () => views.length === calls);
  expect(
    views.filter(({status, isWhole}) => status !== 200 || !isWhole),
  ).toEqual([]);
});
