/**
 * A request came again and again under new ids, at one gateway after the other,
 * and each backend server that began to run it ended. Fifteen groups were lost to
 * one request and thirteen to another within half a minute, and healthy streams
 * broke beside it, up to three times each. What had been tried was known to one
 * attempt of the caller at one gateway and forgotten with its final answer, so
 * that the next attempt was a new request. "targets":"i-8080ad48ff i-8d883fde39"
 * and, 70 ms later at another gateway, "targets":"i-8080ad48ff i-8d883fde39
 * i-bafe16ebd8", both with 108 prompt tokens, showed that no single attempt had
 * done too much; three of three heads were gone after 0.7 s.
 */
import {afterEach, expect, test} from 'vitest';
import {streamSteadily} from '../support/backend_scripts';
import {BackendSlots} from '../support/backend_slots';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const GATEWAYS = 3;
const CRASH = 'crash';
const ATTEMPTS = 12;
const BETWEEN_ATTEMPTS_MS = 150;
const BETWEEN_CALLS_MS = 60;
const UNPROCESSABLE = 422;
/** What may end before it is known who did it. */
const MOST_ENDED = 3;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

async function start() {
  const slots = await BackendSlots.create({
    count: 8,
    handle: streamSteadily(5, 40),
    endsUnder: body => body === CRASH,
    endsAfterMs: 50,
    backAfterMs: 800,
  });
  const fleet = await GatewayFleet.create({
    gateways: GATEWAYS,
    stopWithinMs: 8_000,
    route: {isResumable: true, maxAttempts: 3},
    handle: () => undefined,
    slots,
  });
  closers.push(() => fleet.close());
  return {slots, fleet};
}

/** Callers of healthy requests, each with a body of its own, at a steady rate. */
function startHealthy(fleet: GatewayFleet) {
  const bodies: string[] = [];
  const timer = setInterval(() => {
    const body = `healthy ${bodies.length}`;
    bodies.push(body);
    const id = `h${bodies.length}`;
    void fleet.call(bodies.length % GATEWAYS, id, false, 'h', body);
  }, BETWEEN_CALLS_MS);
  return {bodies, stop: () => clearInterval(timer)};
}

/** Calls again as long as it is told that the request has not run. */
async function callUntilServed(fleet: GatewayFleet, at: number, body: string) {
  const {status} = await waitUntil(body, async () => {
    const view = await fleet.call(at % GATEWAYS, `a${at}`, false, 'h', body);
    return view.status !== 503 && view;
  });
  return status;
}

test('a request under which backend servers end is stopped, wherever its caller repeats it', async () => {
  const {slots, fleet} = await start();
  const healthy = startHealthy(fleet);
  const views = [];
  for (let at = 0; at < ATTEMPTS; at += 1) {
    const gateway = at % GATEWAYS;
    views.push(await fleet.call(gateway, `c${at}`, false, 'h', CRASH));
    await new Promise(resolve => setTimeout(resolve, BETWEEN_ATTEMPTS_MS));
  }
  healthy.stop();

  expect(slots.ends.length).toBeLessThanOrEqual(MOST_ENDED);
  const lastEnd = Math.max(...slots.ends);
  const later = slots.reached.filter(
    ({at, body}) => body === CRASH && at > lastEnd,
  );
  expect(later).toEqual([]);
  const last = views[views.length - 1];
  expect(last).toMatchObject({status: UNPROCESSABLE, isWhole: true});
  expect(last.headers['retry-after']).toBeUndefined();
  expect(last.body).toContain('end');
});

test('requests that ran beside it are served when their callers repeat them', async () => {
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
