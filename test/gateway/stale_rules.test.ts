/**
 * Guards against a 404 for a route that was added and confirmed while a gateway had
 * lost contact with control. Gateways serve by their rules for 4.25 s after the last
 * confirmation, but a confirmed change may take only 2 s to be in force everywhere; a
 * gateway answered 404 by an older version 2.2 s after the change was confirmed.
 * Serving a known route only requires rules younger than the time in which a key may
 * be revoked; denying that a route or key exists requires current rules.
 */
import {afterEach, expect, test} from 'vitest';
import {sendPacedStream} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const fleets: GatewayFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

test('a gateway whose rules may be stale serves known routes and answers unknown ones with 503', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    // Above the 0.5 s for which control holds a poll, the usual age of a confirmation.
    changesWithinMs: 1_500,
    route: {},
    handle: sendPacedStream(2, 10),
  });
  fleets.push(fleet);
  const callUnknown = (id: string) => fleet.call(0, id, false, 'unknown');
  expect(await callUnknown('q1')).toMatchObject({status: 404});

  await fleet.stopControl();
  let unknownRoute = await callUnknown('q2');
  await waitUntil('a status other than 404', async () => {
    unknownRoute = await callUnknown('q3');
    return unknownRoute.status !== 404;
  });
  const knownRoute = await fleet.call(0, 'q4');

  expect(unknownRoute.status).toBe(503);
  expect(unknownRoute.headers['retry-after']).toBeDefined();
  expect(knownRoute).toMatchObject({status: 200, isWhole: true});
});
