import {describe, expect, test} from 'vitest';
import {createRandom} from '../support/create_random';
import {BACKEND, RateLimitSimulation} from '../support/rate_limit_simulation';

const SIZES = [3, 16, 340];
const RATES = [1, 4, 20];
const CASES = SIZES.flatMap(gateways =>
  RATES.map(rate => [gateways, rate] as const),
);
/** The backend server turns cold at this time. */
const COLD_FROM_MS = 10_000;
/** Requests that gateways sent before they could know of it do not count. */
const KNOWN_WITHIN_MS = 1_000;
const DEMAND_FACTOR = 4;
const SEED = 11;

type Options = Parameters<typeof RateLimitSimulation.create>[0];

function create(
  gateways: number,
  perSecond: number,
  cold: Partial<NonNullable<Options['cold']>> = {},
  more: Partial<Options> = {},
): RateLimitSimulation {
  return RateLimitSimulation.create({
    gateways,
    limitAt: () => undefined,
    demandAt: () => (Math.max(4, perSecond) * DEMAND_FACTOR) / gateways,
    random: createRandom(SEED),
    cold: {perSecond, forMsAt: () => 60_000, ...cold},
    ...more,
  });
}

/** The server turns cold in the middle of its life, and stays so for a minute. */
const turnsCold = (at: number) =>
  at < COLD_FROM_MS ? 0 : Math.max(0, COLD_FROM_MS + 60_000 - at);

describe('a cold server', () => {
  // Guards against more requests than it bears in any second, and against a
  // limit that leaves much of the rate unused.
  test.each(CASES)(
    'gets no more from %d gateways together than %d requests in any second, and 0.8 of it',
    async (gateways, rate) => {
      const crowd = create(gateways, rate);
      await crowd.run(40_000);

      expect(crowd.countMaxWhileCold()).toBeLessThanOrEqual(rate);
      const used = crowd.countInformedRequests(10_000, 40_000) / 30;
      expect(used).toBeGreaterThanOrEqual(0.8 * rate);
    },
  );

  // Guards against a rate that is kept at the start of a server only.
  test.each(
    SIZES.flatMap(gateways =>
      [true, false].map(isInAnswers => [gateways, isInAnswers] as const),
    ),
  )(
    'that turns cold later is limited at all of %d gateways soon (in answers: %s)',
    async (gateways, isInAnswers) => {
      const isInRegistrations = !isInAnswers;
      const cold = {forMsAt: turnsCold, isInAnswers, isInRegistrations};
      const crowd = create(gateways, 4, cold);
      await crowd.run(COLD_FROM_MS);
      expect(crowd.countInformed()).toBe(0);
      // Registrations come once a second.
      const knownAt = COLD_FROM_MS + KNOWN_WITHIN_MS + 1_000;
      await crowd.run(knownAt);
      expect(crowd.countInformed()).toBe(gateways);
      await crowd.run(40_000);

      expect(crowd.countMaxWhileCold(knownAt)).toBeLessThanOrEqual(4);
    },
  );

  // Guards against gateways that keep to the rate after the server is warm.
  test.each(SIZES)(
    'that is warm again is so at %d gateways',
    async gateways => {
      const forMsAt = (at: number) => Math.max(0, 20_000 - at);
      const crowd = create(gateways, 4, {forMsAt});
      await crowd.run(19_990);
      expect(crowd.countInformed()).toBe(gateways);
      await crowd.run(20_000 + KNOWN_WITHIN_MS);

      expect(crowd.countInformed()).toBe(0);
    },
  );

  // Guards against a countdown that is sent to all gateways again and again.
  test('causes no updates to gateways while its countdown goes on', async () => {
    const crowd = create(16, 4, {forMsAt: at => Math.max(0, 60_000 - at)});
    await crowd.run(5_000);
    const {tableTag} = crowd.gateways[0];
    await crowd.run(50_000);

    expect(crowd.gateways[0].tableTag).toBe(tableTag);
  });

  // Guards against a limit that replaces the other one.
  test.each(SIZES)(
    'that announces a limit as well gets no more than both allow from %d gateways',
    async gateways => {
      const limitAt = () => 1.5;
      const crowd = create(gateways, 2, {}, {limitAt});
      await crowd.run(60_000);

      expect(crowd.countMaxWhileCold()).toBeLessThanOrEqual(2);
      expect(crowd.countMaxPerWindow(5_000)).toBeLessThanOrEqual(1.5 * 4 + 1);
      expect(crowd.countInformedRequests(10_000, 60_000)).toBeGreaterThan(50);
    },
  );
});

describe('a start without any word', () => {
  const silent = {
    isInAnswers: false,
    isInRegistrations: false,
    startMs: 20_000,
    sequence: 1,
  };

  // Guards against a server that is started anew and gets all requests at once.
  test.each(SIZES)(
    'is limited for %d gateways that have served callers',
    async gateways => {
      const crowd = create(gateways, 4, silent);
      crowd.gateways.forEach(gateway => (gateway.hasServed = true));
      await crowd.run(2_000);
      expect(crowd.countInformed()).toBe(gateways);
      await crowd.run(25_000);

      expect(crowd.countInformed()).toBe(0);
    },
  );

  // Guards against slow servers at the first start of a deployment.
  test('is not limited before callers were served', async () => {
    const crowd = create(16, 4, silent, {
      demandAt: at => (at < 2_000 ? 0 : 1),
    });
    await crowd.run(10_000);

    expect(crowd.countInformed()).toBe(0);
  });

  // Guards against a new leader that takes every server for a new one.
  test('long ago is not limited by a new leader', async () => {
    const crowd = create(16, 4, {...silent, sequence: 1_000});
    await crowd.run(5_000);
    crowd.changeLeader(300);
    await crowd.run(10_000);

    expect(crowd.countInformed()).toBe(0);
  });
});

describe('servers of a restored zone', () => {
  // Guards against a server that turned cold while nothing was sent to it.
  test('are cold until they register again', async () => {
    const crowd = create(16, 4, {forMsAt: () => 0});
    await crowd.run(5_000);
    expect(crowd.countInformed()).toBe(0);
    crowd.restoreZone();
    await crowd.run(5_100);
    expect(crowd.countInformed()).toBe(16);
    await crowd.run(5_000 + 2_000 + KNOWN_WITHIN_MS);

    expect(crowd.countInformed()).toBe(0);
  });
});

describe('under faults a cold server gets no more than its rate', () => {
  test.each(CASES)(
    'from %d gateways at %d requests per second',
    async (gateways, rate) => {
      const crowd = create(gateways, rate, {forMsAt: () => 600_000});
      const {time} = crowd;
      const random = createRandom(SEED + 1);
      const draw = () => Math.floor(random() * gateways);
      const faults = [
        () => crowd.restart(draw()),
        () => crowd.pause(draw(), 3_000, false),
        () => crowd.pause(draw(), 3_000, true),
        () => {
          const gateway = crowd.gateways[draw()];
          gateway.isPartitioned = true;
          time.after(4_000, () => (gateway.isPartitioned = false));
        },
        () => crowd.changeLeader(300),
      ];
      for (let at = 5_000; at < 60_000; at += 1_500) {
        time.after(at, () => faults[Math.floor(random() * faults.length)]());
      }
      await crowd.run(70_000);

      expect(crowd.countMaxWhileCold()).toBeLessThanOrEqual(rate);
      expect(crowd.countInformedRequests(65_000, 70_000)).toBeGreaterThan(0);
    },
  );

  // Guards against permits of two leaders in one second, and against a state
  // that ends with the leader that knew it: here only answers tell of it.
  test.each(RATES)(
    'during repeated changes of the leader, at %d requests per second',
    async rate => {
      const cold = {forMsAt: turnsCold, isInRegistrations: false};
      const crowd = create(16, rate, cold);
      for (let at = 15_000; at < 40_000; at += 1_700) {
        crowd.time.after(at, () => crowd.changeLeader(20));
      }
      await crowd.run(40_000);

      const knownAt = COLD_FROM_MS + KNOWN_WITHIN_MS;
      expect(crowd.countMaxWhileCold(knownAt)).toBeLessThanOrEqual(rate);
      expect(crowd.countInformedRequests(15_000, 40_000)).toBeGreaterThan(0);
      await crowd.run(60_000);
      const used = crowd.countInformedRequests(45_000, 60_000) / 15;
      expect(used).toBeGreaterThanOrEqual(0.8 * rate);
    },
  );

  // Guards against a gateway that gets its targets from a leader that does not
  // know yet which servers are cold.
  test.each(SIZES)(
    'when one of %d gateways restarts while the leader changes',
    async gateways => {
      const cold = {forMsAt: turnsCold, isInRegistrations: false};
      const demandAt = () => 100 / gateways;
      const crowd = create(gateways, 4, cold, {demandAt});
      // Each new leader gets the next registration 10 ms after it begins to lead.
      for (let at = 12_970, next = 0; at < 30_000; at += 2_000, next += 1) {
        crowd.time.after(at, () => {
          crowd.changeLeader(20);
          crowd.restart(next % gateways);
        });
      }
      await crowd.run(35_000);

      const knownAt = COLD_FROM_MS + KNOWN_WITHIN_MS;
      expect(crowd.countMaxWhileCold(knownAt)).toBeLessThanOrEqual(4);
      const used = crowd.countInformedRequests(31_000, 35_000) / 4;
      expect(used).toBeGreaterThanOrEqual(0.8 * 4);
    },
  );

  // Guards against gateways that go on without control.
  test('when all gateways are cut off from control, nothing is sent', async () => {
    const crowd = create(16, 4);
    await crowd.run(10_000);
    crowd.gateways.forEach(gateway => (gateway.isPartitioned = true));
    await crowd.run(20_000);

    expect(crowd.countInformed()).toBe(16);
    expect(crowd.countInformedRequests(10_200, 20_000)).toBe(0);
  });
});

// Guards against permits and larger messages where no rate is configured.
test('a pool without a rate for cold servers has none', async () => {
  const crowd = create(16, 0);
  await crowd.run(10_000);

  expect(crowd.countInformed()).toBe(0);
  expect(crowd.permitRequestCount).toBe(0);
  const [{limits}] = crowd.gateways;
  expect(limits.isLimited(BACKEND)).toBe(false);
  expect(limits.describeChanges()).not.toHaveProperty('cold');
});
