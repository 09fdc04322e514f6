/**
 * Guards against requests that may not be repeated and are cut at the end of a planned stop.
 * A stopping gateway took them by the longest recent request of their route, or by its
 * objective, which for a stream covers its first event only; one that took longer was
 * sent on, and broken off while its backend server was at work.
 */
import {afterEach, expect, test} from 'vitest';
import {sendPacedStream} from '../support/backend_scripts';
import {GatewayFleet} from '../support/gateway_fleet';

/** Requests are taken for 2.5 s, and what is left is broken off after 3.5 s. */
const STOP_WITHIN_MS = 4_000;
const ARRIVES_AFTER_MS = 1_200;
const LONG_MS = 3_000;

const fleets: GatewayFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

type Options = Parameters<typeof GatewayFleet.create>[0];

async function start(options: Pick<Options, 'route' | 'handle'>) {
  const fleet = await GatewayFleet.create({
    ...options,
    gateways: 1,
    stopWithinMs: STOP_WITHIN_MS,
  });
  fleets.push(fleet);
  return fleet;
}

/** Answers at once, except requests whose id begins with `long`. */
const answerById: Options['handle'] = ({headers, socket}) => {
  const id = headers.get('request-id') ?? '';
  const text = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`;
  setTimeout(() => socket.write(text), id.startsWith('long') ? LONG_MS : 0);
};

/** Begins to stop the gateway and sends it a request some time later. */
async function callDuringStop(fleet: GatewayFleet, id: string) {
  const stopped = fleet.gateways[0].drain();
  await new Promise(resolve => setTimeout(resolve, ARRIVES_AFTER_MS));
  const result = await fleet.call(0, id);
  await stopped;
  const sent = fleet.backend.requests.filter(
    ({headers}) => headers.get('request-id') === id,
  );
  return {...result, sent: sent.length};
}

test('an unsafe request that may outlast the stop is refused without being sent, however fast others were', async () => {
  const fleet = await start({
    route: {kind: 'unsafe', timeoutMs: 6_000},
    handle: answerById,
  });
  expect(await fleet.call(0, 'fast')).toMatchObject({status: 200});
  const result = await callDuringStop(fleet, 'long');
  expect(result).toMatchObject({status: 503, isWhole: true, sent: 0});
});

test('an unsafe request whose route ends it before the stop does is served', async () => {
  const fleet = await start({
    route: {kind: 'unsafe', timeoutMs: 1_500},
    handle: answerById,
  });
  const result = await callDuringStop(fleet, 'fast');
  expect(result).toMatchObject({status: 200, isWhole: true, sent: 1});
});

test('a stream of a route without recent ones is not taken by the objective for its first event', async () => {
  const fleet = await start({
    route: {kind: 'stream', timeoutMs: 6_000, objectiveMs: 400},
    handle: sendPacedStream(10, LONG_MS / 10),
  });
  const result = await callDuringStop(fleet, 'stream');
  expect(result).toMatchObject({status: 503, isWhole: true, sent: 0});
});

test('a request that may run again is still judged by the recent ones of its route', async () => {
  const fleet = await start({
    route: {kind: 'safe', timeoutMs: 6_000},
    handle: answerById,
  });
  expect(await fleet.call(0, 'fast')).toMatchObject({status: 200});
  const result = await callDuringStop(fleet, 'fast-too');
  expect(result).toMatchObject({status: 200, isWhole: true, sent: 1});
});
