import {afterEach, expect, test} from 'vitest';
import {GatewayFleet} from '../support/gateway_fleet';
import {RestartingBackends} from '../support/restarting_backends';

const GATEWAYS = 5;
const INTERVAL_MS = 10;
const PHASE_MS = 2_500;
/** A later answer misses the objective of any caller here. */
const OBJECTIVE_MS = 1_000;
/** Requests served at the first attempt, compared to those before the traffic moved. */
const MIN_SERVED = 0.95;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

interface Load {
  /** Connections that a backend server accepts from all gateways together. */
  readonly maxConnections: number;
  readonly answerMs: number;
}

async function start({maxConnections, answerMs}: Load): Promise<GatewayFleet> {
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
        answerMs,
      );
    },
  });
  const fleet = await GatewayFleet.create({
    gateways: GATEWAYS,
    stopWithinMs: 8_000,
    route: {},
    maxConnections,
    handle: () => undefined,
    restartingBackends,
  });
  closers.push(() => fleet.close());
  return fleet;
}

/** Sends requests on new connections at a steady rate; returns the part that was served in time. */
async function measureServed(
  fleet: GatewayFleet,
  phase: string,
  chooseGateway: (count: number) => number,
): Promise<number> {
  const calls: Array<Promise<boolean>> = [];
  const count = PHASE_MS / INTERVAL_MS;
  for (let sent = 0; sent < count; sent += 1) {
    const sentAt = performance.now();
    const call = fleet.call(chooseGateway(sent), `${phase}${sent}`);
    const isInTime = () => performance.now() - sentAt <= OBJECTIVE_MS;
    calls.push(call.then(({status}) => status === 200 && isInTime()));
    await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
  }
  const served = await Promise.all(calls);
  return served.filter(Boolean).length / count;
}

/** Moves all traffic to one gateway, then to another; returns the part that was served, relative to before. */
async function measureMoves(load: Load): Promise<number[]> {
  const fleet = await start(load);
  const before = await measureServed(fleet, 'a', count => count % GATEWAYS);
  const first = await measureServed(fleet, 'b', () => 0);
  const second = await measureServed(fleet, 'c', () => 1);
  expect(before).toBeGreaterThan(MIN_SERVED);
  return [first / before, second / before];
}

test('requests are served at the first attempt when all traffic moves to one gateway, then to another', async () => {
  const served = await measureMoves({maxConnections: 51, answerMs: 40});
  expect(Math.min(...served)).toBeGreaterThanOrEqual(MIN_SERVED);
});

// Each gateway has a fixed share of the connections, by the number of gateways.
test('a gateway that gets all traffic uses more than its share of the connections', async () => {
  const served = await measureMoves({maxConnections: 12, answerMs: 200});
  expect(Math.min(...served)).toBeGreaterThanOrEqual(MIN_SERVED);
});
