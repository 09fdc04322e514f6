/**
 * Guards against a gateway that blames its backend servers for its own pause. After a
 * freeze of 1.0 s a gateway refused every request with "no backend server can take it
 * now" for 3.0 s, and reported all backend servers to control as stalled, while other
 * gateways were served by them. Timers fire before received data is read, so the check
 * for stalls saw the process's own pause in every resumable stream.
 */
import {afterEach, expect, test} from 'vitest';
import {sendPacedStream} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const EVENTS = 20;
const BETWEEN_EVENTS_MS = 100;
/** Above the default pause after which a stream counts as stalled. */
const FROZEN_MS = 1_200;

const fleets: GatewayFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

/** A stream whose own pauses are far below the stall timeout. */
const stream = sendPacedStream(EVENTS, BETWEEN_EVENTS_MS);

function freezeThisProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, FROZEN_MS);
}

test('a gateway that was frozen during a stream does not treat its backend server as stalled', async () => {
  let startedCount = 0;
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {isResumable: true, maxAttempts: 2},
    handle: request => {
      startedCount += 1;
      stream(request);
    },
  });
  fleets.push(fleet);
  const first = fleet.call(0, 'q1');
  await waitUntil('the start of the stream', () => startedCount === 1);
  await new Promise(resolve => setTimeout(resolve, 3 * BETWEEN_EVENTS_MS));

  freezeThisProcess();
  await new Promise(resolve => setTimeout(resolve, BETWEEN_EVENTS_MS));
  const second = await fleet.call(0, 'q2');

  expect(second).toMatchObject({status: 200, isWhole: true});
  expect(await first).toMatchObject({status: 200, isWhole: true});
});
