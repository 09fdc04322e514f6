/**
 * A machine may be suspended for seconds, and its steady clock does not count them.
 * A gateway that had lost control and was away for 5 s still served by rules that
 * control had confirmed 5.1 s ago, as its own clock said 0.1 s: a key that was
 * taken away meanwhile would have been taken for good.
 */
import {afterEach, expect, test} from 'vitest';
import {streamSteadily} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

/** Above the 4 s for which the fleet's gateways act on a confirmation. */
const AWAY_MS = 5_000;
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
    handle: streamSteadily(2, 10),
  });
  closers.push(() => fleet.close());
  return fleet;
}

test('a gateway that was suspended serves by no rules from before', async () => {
  const fleet = await start();
  expect(await fleet.call(0, 'q1')).toMatchObject({status: 200});
  await fleet.stopControl();

  closers.push(suspend(AWAY_MS));
  expect(fleet.gateways[0].isReady).toBe(false);
  expect(await fleet.call(0, 'q2')).toMatchObject({status: 503});
});

test('and serves again as soon as control has confirmed them', async () => {
  const fleet = await start();
  closers.push(suspend(AWAY_MS));
  await waitUntil('a confirmation', () => fleet.gateways[0].isReady);
  expect(await fleet.call(0, 'q1')).toMatchObject({status: 200});
});
