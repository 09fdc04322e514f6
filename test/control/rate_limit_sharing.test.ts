import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRateLimits} from '../../src/gateway/limits/backend_rate_limits';
import {createRandom} from '../support/create_random';
import {BACKEND, RateLimitSimulation} from '../support/rate_limit_simulation';

const SIZES = [3, 16, 340];
const LIMITS = [0.5, 3.7, 50];
const CASES = SIZES.flatMap(gateways =>
  LIMITS.map(limit => [gateways, limit] as const),
);
/** The backend server announces its limit from this time on. */
const LIMITED_FROM_MS = 2_000;
const KNOWN_WITHIN_MS = 1_000;
/** Demand of all gateways together, relative to the limit. */
const DEMAND_FACTOR = 4;
const SEED = 7;

function create(
  gateways: number,
  limit: number,
  more: Partial<Parameters<typeof RateLimitSimulation.create>[0]> = {},
): RateLimitSimulation {
  return RateLimitSimulation.create({
    gateways,
    limitAt: at => (at >= LIMITED_FROM_MS ? limit : undefined),
    demandAt: () => (Math.max(1, limit) * DEMAND_FACTOR) / gateways,
    random: createRandom(SEED),
    ...more,
  });
}

const countAllowed = (limit: number) => Math.floor(limit * 4 + 1);

describe('a limit that a backend server announces', () => {
  test.each(CASES)(
    'is kept and used by %d gateways together at %d requests per second',
    async (gateways, limit) => {
      const crowd = create(gateways, limit);
      await crowd.run(LIMITED_FROM_MS + 60_000);

      expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(
        countAllowed(limit),
      );
      const used = crowd.countInformedRequests(
        LIMITED_FROM_MS + 10_000,
        LIMITED_FROM_MS + 60_000,
      );
      expect(used).toBeGreaterThanOrEqual(0.9 * limit * 50);
    },
  );

  test.each(SIZES)('reaches all of %d gateways soon', async gateways => {
    // Only the first gateway sends requests to the backend server.
    const demandAt = (_at: number, gateway: number) => (gateway === 0 ? 20 : 0);
    const crowd = create(gateways, 3.7, {demandAt});
    await crowd.run(LIMITED_FROM_MS);
    while (crowd.firstAdvertisedAt === undefined) {
      await crowd.run(crowd.time.now() + 10);
    }
    await crowd.run(crowd.firstAdvertisedAt + KNOWN_WITHIN_MS);

    expect(crowd.countInformed()).toBe(gateways);
  });

  test.each(SIZES)(
    'ends at all of %d gateways soon after it is withdrawn',
    async gateways => {
      const endsAt = LIMITED_FROM_MS + 10_000;
      const limitAt = (at: number) =>
        at >= LIMITED_FROM_MS && at < endsAt ? 3.7 : undefined;
      const crowd = create(gateways, 3.7, {limitAt});
      await crowd.run(endsAt - 1);
      expect(crowd.countInformed()).toBe(gateways);
      // The end is learned from the response to the next permitted request.
      await crowd.run(endsAt + 500 + KNOWN_WITHIN_MS);

      expect(crowd.countInformed()).toBe(0);
    },
  );

  test('of zero ends as well, although hardly any request is sent', async () => {
    const endsAt = LIMITED_FROM_MS + 20_000;
    const limitAt = (at: number) =>
      at >= LIMITED_FROM_MS && at < endsAt ? 0 : undefined;
    const crowd = create(16, 0, {limitAt, demandAt: () => 1});
    await crowd.run(endsAt);
    expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(countAllowed(0));
    await crowd.run(endsAt + 6_000);

    expect(crowd.countInformed()).toBe(0);
  });

  test.each(SIZES)(
    'is used when the demand moves between %d gateways',
    async gateways => {
      // All demand is at one gateway, which changes every 3 s.
      const demandAt = (at: number, gateway: number) =>
        Math.floor(at / 3_000) % gateways === gateway ? 20 : 0;
      const crowd = create(gateways, 5, {demandAt});
      await crowd.run(LIMITED_FROM_MS + 60_000);

      expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(countAllowed(5));
      const used = crowd.countInformedRequests(
        LIMITED_FROM_MS + 10_000,
        LIMITED_FROM_MS + 60_000,
      );
      expect(used).toBeGreaterThanOrEqual(0.9 * 5 * 50);
    },
  );

  test.each(SIZES)(
    'is kept when it changes, by %d gateways',
    async gateways => {
      const limitAt = (at: number) =>
        at < LIMITED_FROM_MS
          ? undefined
          : at < LIMITED_FROM_MS + 20_000
            ? 20
            : 2;
      const demandAt = () => 80 / gateways;
      const crowd = create(gateways, 20, {limitAt, demandAt});
      await crowd.run(LIMITED_FROM_MS + 40_000);

      expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(countAllowed(20));
      // After all gateways know the new limit and the window of the old one is over.
      const changedAt = LIMITED_FROM_MS + 20_000 + KNOWN_WITHIN_MS;
      expect(crowd.countMaxPerWindow(changedAt)).toBeLessThanOrEqual(
        countAllowed(2),
      );
    },
  );
});

test('a limit that changes with each response does not cause updates to other gateways', async () => {
  let perSecond = 5;
  const limitAt = () => (perSecond += 0.1);
  const crowd = create(16, 5, {limitAt});
  await crowd.run(LIMITED_FROM_MS);
  const {limitsTag} = crowd.gateways[0].limits.describeChanges();
  await crowd.run(LIMITED_FROM_MS + 10_000);

  expect(perSecond).toBeGreaterThan(6);
  expect(crowd.gateways[0].limits.describeChanges().limitsTag).toBe(limitsTag);
});

describe('under faults a limit is kept', () => {
  test.each(CASES)(
    'by %d gateways at %d requests per second',
    async (gateways, limit) => {
      const crowd = create(gateways, limit);
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
        () => crowd.changeLeader(1_000),
      ];
      for (let at = 5_000; at < 60_000; at += 2_500) {
        time.after(at, () => faults[Math.floor(random() * faults.length)]());
      }
      await crowd.run(70_000);

      expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(
        countAllowed(limit),
      );
      expect(crowd.countInformedRequests(60_000, 70_000)).toBeGreaterThan(0);
    },
  );

  test.each(LIMITS)(
    'during repeated changes of the leader, at %d requests per second',
    async limit => {
      const crowd = create(3, limit);
      for (let at = 5_000; at < 30_000; at += 1_000) {
        crowd.time.after(at, () => crowd.changeLeader(20));
      }
      await crowd.run(30_000);
      expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(
        countAllowed(limit),
      );
      await crowd.run(60_000);

      expect(crowd.countMaxPerWindow()).toBeLessThanOrEqual(
        countAllowed(limit),
      );
      const used = crowd.countInformedRequests(40_000, 60_000);
      expect(used).toBeGreaterThanOrEqual(0.9 * limit * 20);
    },
  );

  test('and a permit is not used when the gateway was suspended while it waited for it', async () => {
    const steady = {now: () => 0};
    let suspendedMs = 0;
    const limits = BackendRateLimits.create({
      clock: steady,
      leaseClock: {now: () => suspendedMs},
      events: EventRing.create(),
      askPermit: () => {
        suspendedMs += 3_000;
        const verdict = {pauseMs: 0, intervalMs: 0};
        return Promise.resolve({kind: 'granted', ...verdict});
      },
      reportNow: () => undefined,
    });
    limits.record(BACKEND, 5, -1);

    expect(await limits.acquirePermit(BACKEND)).toBeUndefined();
  });

  test('and a new incarnation of the backend server has none', async () => {
    const crowd = create(3, 5);
    await crowd.run(LIMITED_FROM_MS + 5_000);
    const [{limits}] = crowd.gateways;

    expect(limits.isLimited(BACKEND)).toBe(true);
    expect(limits.isLimited('b1@2')).toBe(false);
  });
});
