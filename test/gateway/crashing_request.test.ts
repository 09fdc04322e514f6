/**
 * Guards against a request that crashes each backend server which begins to run
 * it, and that its caller retries under new ids at one gateway after the other.
 * Fifteen groups were lost to one such request and thirteen to another within
 * half a minute, and healthy concurrent streams broke up to three times each.
 * No single attempt did too much: each gateway knew the targets tried only for
 * its own attempt and forgot them with the final response, so each retry
 * counted as a new request.
 */
import {afterEach, expect, test} from 'vitest';
import {sendPacedStream} from '../support/backend_scripts';
import {RestartingBackends} from '../support/restarting_backends';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const GATEWAYS = 3;
const CRASH = 'crash';
const ATTEMPTS = 12;
const BETWEEN_ATTEMPTS_MS = 150;
const BETWEEN_CALLS_MS = 60;
const UNPROCESSABLE = 422;
/** Backend servers that may end before the cause is known. */
const MOST_ENDED = 3;
const MOST_ENDED_BY_PART = 5;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

async function start() {
  const slots = await RestartingBackends.create({
    count: 8,
    handle: sendPacedStream(5, 40),
    crashesOn: body => body.startsWith(CRASH),
    crashDelayMs: 50,
    restartDelayMs: 800,
  });
  const fleet = await GatewayFleet.create({
    gateways: GATEWAYS,
    stopWithinMs: 8_000,
    route: {isResumable: true, maxAttempts: 3},
    handle: () => undefined,
    restartingBackends: slots,
  });
  closers.push(() => fleet.close());
  return {slots, fleet};
}

/** Sends healthy requests with distinct bodies at a steady rate. */
function startHealthy(fleet: GatewayFleet) {
  const bodies: string[] = [];
  const timer = setInterval(() => {
    const body = `healthy ${bodies.length}`;
    bodies.push(body);
    const id = `h${bodies.length}`;
    void fleet.call(bodies.length % GATEWAYS, id, false, 'h', body, ['common']);
  }, BETWEEN_CALLS_MS);
  return {bodies, stop: () => clearInterval(timer)};
}

/** Retries a request while it is refused as not run. */
async function callUntilServed(fleet: GatewayFleet, at: number, body: string) {
  const {status} = await waitUntil(body, async () => {
    const view = await fleet.call(at % GATEWAYS, `a${at}`, false, 'h', body);
    return view.status !== 503 && view;
  });
  return status;
}

test('a request that crashes backend servers is stopped, at whichever gateway its caller retries it', async () => {
  const {slots, fleet} = await start();
  const healthy = startHealthy(fleet);
  const views = [];
  for (let at = 0; at < ATTEMPTS; at += 1) {
    const gateway = at % GATEWAYS;
    views.push(await fleet.call(gateway, `c${at}`, false, 'h', CRASH));
    await new Promise(resolve => setTimeout(resolve, BETWEEN_ATTEMPTS_MS));
  }
  healthy.stop();

  expect(slots.stopTimes.length).toBeLessThanOrEqual(MOST_ENDED);
  const lastEnd = Math.max(...slots.stopTimes);
  const later = slots.receivedRequests.filter(
    ({at, body}) => body === CRASH && at > lastEnd,
  );
  expect(later).toEqual([]);
  const last = views[views.length - 1];
  expect(last).toMatchObject({status: UNPROCESSABLE, isWhole: true});
  expect(last.headers['retry-after']).toBeUndefined();
  expect(last.body).toContain('end');
});

test('requests that ran at the same time are served when their callers retry them', async () => {
  const {slots, fleet} = await start();
  const healthy = startHealthy(fleet);
  await waitUntil('healthy requests', () => healthy.bodies.length > 10);
  for (let at = 0; at < ATTEMPTS; at += 1) {
    await fleet.call(at % GATEWAYS, `c${at}`, false, 'h', CRASH);
  }
  healthy.stop();
  await waitUntil('all back', () => slots.list().length === 8);

  const again = await Promise.all(
    healthy.bodies.map((body, at) => callUntilServed(fleet, at, body)),
  );
  expect(again.filter(status => status !== 200)).toEqual([]);
});

// Each request was new, so its gateway and all others sent it to two backend servers.
test('requests that share a part which crashes backend servers are stopped, though no two are alike', async () => {
  const {slots, fleet} = await start();
  const healthy = startHealthy(fleet);
  const parts = ['common', 'poison'];
  const views = [];
  for (let at = 0; at < ATTEMPTS; at += 1) {
    const body = `${CRASH} ${at}`;
    views.push(
      await fleet.call(at % GATEWAYS, `c${at}`, false, 'h', body, parts),
    );
    await new Promise(resolve => setTimeout(resolve, BETWEEN_ATTEMPTS_MS));
  }
  healthy.stop();

  expect(slots.stopTimes.length).toBeLessThanOrEqual(MOST_ENDED_BY_PART);
  const last = views[views.length - 1];
  expect(last).toMatchObject({status: UNPROCESSABLE, isWhole: true});
  const lastEnd = Math.max(...slots.stopTimes);
  const later = slots.receivedRequests.filter(
    ({at, body}) => body.startsWith(CRASH) && at > lastEnd,
  );
  expect(later).toEqual([]);
  const again = await Promise.all(
    healthy.bodies.map((body, at) => callUntilServed(fleet, at, body)),
  );
  expect(again.filter(status => status !== 200)).toEqual([]);
});
