import {afterEach, expect, test} from 'vitest';
import {GatewayFleet} from '../support/gateway_fleet';
import {RestartingBackends} from '../support/restarting_backends';

const GATEWAYS = 5;
/** Connections that a backend server accepts, and requests that it runs at once. */
const MAX_CONNECTIONS = 51;
const ANSWER_MS = 40;
const INTERVAL_MS = 10;
const PHASE_MS = 2_500;
/** Requests served at the first attempt, compared to those before the traffic moved. */
const MIN_SERVED = 0.95;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function start(): Promise<GatewayFleet> {
  const restartingBackends = await RestartingBackends.create({
    count: 3,
    crashesOn: () => false,
    crashDelayMs: 0,
    restartDelayMs: 0,
    handle: ({headers, socket}) => {
      const id = headers.get('request-id') ?? '';
      const head = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\n`;
      setTimeout(
        () => socket.write(`${head}content-length: 2\r\n\r\nok`),
        ANSWER_MS,
      );
    },
  });
  const fleet = await GatewayFleet.create({
    gateways: GATEWAYS,
    stopWithinMs: 8_000,
    route: {},
    maxConnections: MAX_CONNECTIONS,
    handle: () => undefined,
    restartingBackends,
  });
  closers.push(() => fleet.close());
  return fleet;
}

/** Sends requests on new connections at a steady rate; returns the part that was served. */
async function measureServed(
  fleet: GatewayFleet,
  phase: string,
  chooseGateway: (count: number) => number,
): Promise<number> {
  const calls: Array<ReturnType<GatewayFleet['call']>> = [];
  const count = PHASE_MS / INTERVAL_MS;
  for (let sent = 0; sent < count; sent += 1) {
    calls.push(fleet.call(chooseGateway(sent), `${phase}${sent}`));
    await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
  }
  const views = await Promise.all(calls);
  return views.filter(({status}) => status === 200).length / count;
}

test('requests are served at the first attempt when all traffic moves to one gateway, then to another', async () => {
  const fleet = await start();
  const before = await measureServed(fleet, 'a', count => count % GATEWAYS);
  const first = await measureServed(fleet, 'b', () => 0);
  const second = await measureServed(fleet, 'c', () => 1);

  expect(before).toBeGreaterThan(0);
  expect(first / before).toBeGreaterThanOrEqual(MIN_SERVED);
  expect(second / before).toBeGreaterThanOrEqual(MIN_SERVED);
});
