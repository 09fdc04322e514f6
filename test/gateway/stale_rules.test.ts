/**
 * Gateways that had not heard control for over two seconds refused a route with
 * 404 that had been added and confirmed meanwhile. They act on their rules for
 * 4.25 s after control confirmed them, while a change may take 2 s to be in force
 * everywhere: "refused with 404 as an older version says; version 92 was acked more
 * than 2000 ms before", 2.2 s after the confirmation. To serve a route that it knows
 * a gateway needs no more than the time in which a key may be withdrawn; to say that
 * there is no such route or key it must know the rules of now.
 */
import {afterEach, expect, test} from 'vitest';
import {streamSteadily} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const fleets: GatewayFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

test('a gateway whose rules may be older than a confirmed change serves what it knows, and refuses nothing for good', async () => {
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    // Above the 0.5 s for which a confirmation is old while control holds a question.
    changesWithinMs: 1_500,
    route: {},
    handle: streamSteadily(2, 10),
  });
  fleets.push(fleet);
  const callUnknown = (id: string) => fleet.call(0, id, false, 'unknown');
  expect(await callUnknown('q1')).toMatchObject({status: 404});

  await fleet.stopControl();
  let unknown = await callUnknown('q2');
  await waitUntil(
    'another answer than that there is no such route',
    async () => {
      unknown = await callUnknown('q3');
      return unknown.status !== 404;
    },
  );
  const known = await fleet.call(0, 'q4');

  expect(unknown.status).toBe(503);
  expect(unknown.headers['retry-after']).toBeDefined();
  expect(known).toMatchObject({status: 200, isWhole: true});
});
