// Guards against a cold backend server that fails because gateways, each by
// itself, send it more requests than it accepts in a second.
import {afterEach, expect, test} from 'vitest';
import {RestartingBackends} from '../support/restarting_backends';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const PER_SECOND = 4;
const COLD_MS = 4_000;
/** Every gateway knows within this time that a backend server is cold. */
const KNOWN_WITHIN_MS = 1_000;
const BETWEEN_CALLS_MS = 15;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

function countMaxPerSecond(times: readonly number[]): number {
  const counts = times.map(
    from => times.filter(at => at >= from && at < from + 1_000).length,
  );
  return Math.max(0, ...counts);
}

test.each([1, 3])(
  'a backend server that turns cold gets no more than its rate from %d gateways together, and more when it is warm',
  async gateways => {
    const reached: number[] = [];
    let coldSince: number | undefined;
    const slots = await RestartingBackends.create({
      count: 2,
      handle: ({headers, socket}) => {
        const turnsCold = headers.get('incarnation')?.startsWith('s0');
        let cold = '';
        if (turnsCold) {
          const now = performance.now();
          coldSince ??= now;
          reached.push(now);
          cold = `cold-ms: ${Math.max(0, coldSince + COLD_MS - now)}\r\n`;
        }
        const id = headers.get('request-id') ?? '';
        socket.write(
          `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\n${cold}content-length: 2\r\n\r\nok`,
        );
      },
      crashesOn: () => false,
      crashDelayMs: 0,
      restartDelayMs: 0,
    });
    const fleet = await GatewayFleet.create({
      gateways,
      stopWithinMs: 8_000,
      route: {kind: 'safe', maxAttempts: 2},
      coldRequestsPerSecond: PER_SECOND,
      handle: () => undefined,
      restartingBackends: slots,
    });
    closers.push(async () => {
      slots.close();
      await fleet.close();
    });

    const statuses: number[] = [];
    let calls = 0;
    const timer = setInterval(() => {
      calls += 1;
      void fleet
        .call(calls % gateways, `c${calls}`)
        .then(({status}) => statuses.push(status));
    }, BETWEEN_CALLS_MS);
    const firstAt = await waitUntil('a cold server', async () => coldSince);
    const endsAt = firstAt + COLD_MS;
    await waitUntil(
      'a warm server',
      async () => performance.now() > endsAt + 2_500,
    );
    clearInterval(timer);

    const whileCold = reached.filter(
      at => at > firstAt + KNOWN_WITHIN_MS && at < endsAt,
    );
    expect(countMaxPerSecond(whileCold)).toBeLessThanOrEqual(PER_SECOND);
    expect(whileCold.length).toBeGreaterThan(0);
    // It may count as cold for a second longer.
    const whileWarm = reached.filter(at => at > endsAt + 1_500);
    expect(countMaxPerSecond(whileWarm)).toBeGreaterThan(PER_SECOND);
    await waitUntil('answers', async () => statuses.length === calls);
    expect(statuses.filter(status => status !== 200)).toEqual([]);
  },
);
