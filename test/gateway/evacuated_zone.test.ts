/**
 * Guards against requests that are sent to the backend servers of an evacuated zone: by the
 * choice of a backend server, by a request that already waits for a connection there, and by
 * a gateway that cannot know of the evacuation because it was suspended or cut off.
 */
import {afterEach, expect, test} from 'vitest';
import {GatewayFleet} from '../support/gateway_fleet';
import {RestartingBackends} from '../support/restarting_backends';
import {suspend} from '../support/suspension';
import {waitUntil} from '../support/wait_until';

/** Connected gateways must apply an order within this time. */
const APPLIED_WITHIN_MS = 1_000;
const ZONES = ['z', 'y'];

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

interface Backends {
  readonly count?: number;
  /** Time from the arrival of a request at the backend server to its answer, by the number of the server. */
  readonly answerMs?: readonly number[];
}

/** Starts two gateways, or one, and a backend server in each zone. */
async function start(
  {count = 2, answerMs = []}: Backends = {},
  options: Partial<Parameters<typeof GatewayFleet.create>[0]> = {},
) {
  const reached: number[] = [];
  let isStarted = false;
  const restartingBackends = await RestartingBackends.create({
    count,
    handle: ({headers, socket}) => {
      const at = Number(headers.get('incarnation')?.[1]);
      const id = headers.get('request-id') ?? '';
      reached.push(at);
      const answer = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`;
      const delayMs = isStarted ? (answerMs[at] ?? 0) : 0;
      setTimeout(() => socket.write(answer), delayMs);
    },
    crashesOn: () => false,
    crashDelayMs: 0,
    restartDelayMs: 0,
  });
  const fleet = await GatewayFleet.create({
    gateways: 1,
    stopWithinMs: 8_000,
    route: {kind: 'safe', maxAttempts: 2},
    handle: () => undefined,
    restartingBackends,
    findZone: incarnation => ZONES[Number(incarnation[1])],
    ...options,
  });
  closers.push(
    () => restartingBackends.close(),
    () => fleet.close(),
  );
  await waitUntil('every backend server', async () => {
    await callSeveral(fleet, 10);
    return new Set(reached).size === count;
  });
  isStarted = true;
  reached.length = 0;
  return {fleet, reached};
}

function callSeveral(fleet: GatewayFleet, count: number) {
  return Promise.all(
    Array.from({length: count}, (_, at) =>
      fleet.call(at % fleet.gateways.length, `q${at}`),
    ),
  );
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

test('an evacuated zone gets no requests, and gets them again once it is restored', async () => {
  const {fleet, reached} = await start({}, {gateways: 2});
  const answer = await fleet.setEvacuation('z', true);
  expect(answer).toMatchObject({isAccepted: true});
  await delay(APPLIED_WITHIN_MS);

  reached.length = 0;
  const answers = await callSeveral(fleet, 20);
  expect(answers.map(({status}) => status)).toEqual(Array(20).fill(200));
  expect(new Set(reached)).toEqual(new Set([1]));

  await fleet.setEvacuation('z', false);
  await delay(APPLIED_WITHIN_MS);
  await callSeveral(fleet, 20);
  expect(reached).toContain(0);
});

test('a request is refused at once, with the reason, when every zone that serves it is evacuated', async () => {
  const {fleet, reached} = await start();
  await fleet.setEvacuation('z', true);
  await fleet.setEvacuation('y', true);
  await delay(APPLIED_WITHIN_MS);

  reached.length = 0;
  const calledAt = performance.now();
  const {status, headers, body} = await fleet.call(0, 'refused');
  expect(performance.now() - calledAt).toBeLessThan(200);
  expect(status).toBe(503);
  expect(headers['retry-after']).toBeDefined();
  expect(body).toContain('evacuated: ');
  expect(reached).toEqual([]);
});

test('a running request in the zone finishes, and one that waits for a connection there goes elsewhere', async () => {
  // One connection from the gateway to each backend server.
  const {fleet, reached} = await start(
    {answerMs: [2_500, 1_500]},
    {maxConnections: 2, stopWithinMs: 8_000},
  );
  const running = callSeveral(fleet, 2);
  await waitUntil('both connections', () => reached.length === 2);
  const waiting = [fleet.call(0, 'w1'), fleet.call(0, 'w2')];
  await delay(100);
  await fleet.setEvacuation('z', true);

  expect((await running).map(({status}) => status)).toEqual([200, 200]);
  expect((await Promise.all(waiting)).map(({status}) => status)).toEqual([
    200, 200,
  ]);
  expect(reached.filter(at => at === 0)).toHaveLength(1);
});

test.each([
  ['was suspended', 4_000, () => closers.push(suspend(5_000))],
  ['is cut off from control', 1_000, () => undefined],
])(
  'a gateway that %s while a request waits for a connection does not send it',
  async (_, confirmationMs, disturb) => {
    const {fleet, reached} = await start(
      {count: 1, answerMs: [1_800]},
      {maxConnections: 2, confirmationMs},
    );
    const running = fleet.call(0, 'running');
    await waitUntil('the connection', () => reached.length === 1);
    const waiting = fleet.call(0, 'waiting');
    await delay(50);
    // The zone may be evacuated from now on, and the gateway would not know.
    await fleet.stopControl();
    disturb();

    expect(await running).toMatchObject({status: 200});
    const refused = await waiting;
    expect(refused.status).toBe(503);
    expect(refused.headers['retry-after']).toBeDefined();
    expect(refused.body).toContain('did not confirm');
    expect(reached).toHaveLength(1);
  },
);
