// Guards against a rate limit without effect: gateways passed on the responses
// of a backend server that announced one, and kept sending as many requests as
// before.
import {afterEach, expect, test} from 'vitest';
import {RestartingBackends} from '../support/restarting_backends';
import {GatewayFleet} from '../support/gateway_fleet';
import {waitUntil} from '../support/wait_until';

const PER_SECOND = 5;
const WINDOW_MS = 4_000;
/**
 * The backend server tolerates this multiple of its limit in a window, and this
 * many requests beyond it.
 */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;
/** Every gateway knows within this time a limit that one of them received. */
const KNOWN_WITHIN_MS = 1_000;
const BETWEEN_CALLS_MS = 15;

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

function countMaxPerWindow(times: readonly number[]): number {
  const counts = times.map(
    from => times.filter(at => at >= from && at < from + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

test.each([1, 3])(
  'a backend server that announces a limit gets no more than it tolerates from %d gateways together',
  async gateways => {
    const reached: number[] = [];
    const slots = await RestartingBackends.create({
      count: 2,
      handle: ({headers, socket}) => {
        const isLimited = headers.get('incarnation')?.startsWith('s0');
        if (isLimited) {
          reached.push(performance.now());
        }
        const limit = isLimited ? `limit: ${PER_SECOND}\r\n` : '';
        const id = headers.get('request-id') ?? '';
        socket.write(
          `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\n${limit}content-length: 2\r\n\r\nok`,
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
    const firstAt = await waitUntil('a limit', async () => reached[0]);
    const known = () => reached.filter(at => at > firstAt + KNOWN_WITHIN_MS);
    await waitUntil(
      'a window and more',
      async () =>
        performance.now() > firstAt + KNOWN_WITHIN_MS + WINDOW_MS + 500,
    );
    clearInterval(timer);

    const tolerated = PER_SECOND * 4 * TOLERATED_FACTOR + TOLERATED_REQUESTS;
    expect(countMaxPerWindow(known())).toBeLessThanOrEqual(tolerated);
    expect(known().length).toBeGreaterThan(0);
    await waitUntil('answers', async () => statuses.length === calls);
    expect(statuses.filter(status => status !== 200)).toEqual([]);
  },
);
