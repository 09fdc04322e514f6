/**
 * Guards against serving by outdated rules after the machine was suspended, during
 * which its monotonic clock stands still. A gateway that had lost contact with control
 * and was suspended for 5 s still served by rules confirmed 5.1 s before, since its
 * clock showed 0.1 s. It would have accepted a key that was revoked meanwhile.
 */
import {afterEach, expect, test} from 'vitest';
import {sendPacedStream} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

/** Above the 4 s for which the gateways of the fixture serve by a confirmation. */
const SUSPENDED_MS = 5_000;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function start(): Promise<GatewayFleet> {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {},
    handle: sendPacedStream(2, 10),
  });
  closers.push(() => fleet.close());
  return fleet;
}

test('a gateway that was suspended does not serve by rules confirmed before', async () => {
  const fleet = await start();
  expect(await fleet.call(0, 'q1')).toMatchObject({status: 200});
  await fleet.stopControl();

  closers.push(suspend(SUSPENDED_MS));
  expect(fleet.gateways[0].isReady).toBe(false);
  expect(await fleet.call(0, 'q2')).toMatchObject({status: 503});
});

test('a gateway that was suspended serves again once control has confirmed the rules', async () => {
  const fleet = await start();
  closers.push(suspend(SUSPENDED_MS));
  await waitUntil('a confirmation', () => fleet.gateways[0].isReady);
  expect(await fleet.call(0, 'q1')).toMatchObject({status: 200});
});
