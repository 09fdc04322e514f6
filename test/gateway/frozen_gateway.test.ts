/**
 * Symptom: for 3.0 s after a gateway had been frozen for 1.0 s it refused every
 * request with "no backend server can take it now", while the other gateways were
 * served by the same backend servers; control was told that all of them stall.
 * Cause: a gateway that did not run wakes with its timers, before it reads what
 * has come meanwhile. The look at streams then takes its own pause for that of
 * each backend server with a resumable stream, and passes over all of them.
 */
import {afterEach, expect, test} from 'vitest';
import {streamSteadily} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const EVENTS = 20;
const BETWEEN_EVENTS_MS = 100;
/** Above the pause after which a stream of a backend server without figures counts as stalled. */
const FROZEN_MS = 1_200;

const fleets: GatewayFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

/** A stream that never pauses for longer than this process does. */
const stream = streamSteadily(EVENTS, BETWEEN_EVENTS_MS);

function freezeThisProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, FROZEN_MS);
}

test('a gateway that was frozen in the middle of a stream does not blame its backend server', async () => {
  let begun = 0;
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {isResumable: true, maxAttempts: 2},
    handle: request => {
      begun += 1;
      stream(request);
    },
  });
  fleets.push(fleet);
  const first = fleet.call(0, 'q1');
  await waitUntil('a stream under way', () => begun === 1);
  await new Promise(resolve => setTimeout(resolve, 3 * BETWEEN_EVENTS_MS));

  freezeThisProcess();
  await new Promise(resolve => setTimeout(resolve, BETWEEN_EVENTS_MS));
  const second = await fleet.call(0, 'q2');

  expect(second).toMatchObject({status: 200, isWhole: true});
  expect(await first).toMatchObject({status: 200, isWhole: true});
});
