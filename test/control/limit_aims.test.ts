import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRateLimits} from '../../src/gateway/backend_rate_limits';
import {createRandom} from '../support/create_random';
import {BACKEND, LimitCrowd} from '../support/limit_crowd';

const SIZES = [3, 16, 340];
const LIMITS = [0.5, 3.7, 50];
const CASES = SIZES.flatMap(gateways =>
  LIMITS.map(limit => [gateways, limit] as const),
);
/** A limit is named from here on. */
const FROM_MS = 2_000;
const KNOWN_WITHIN_MS = 1_000;
/** Demand over the limit, of all gateways together. */
const DEMAND = 4;
const SEED = 7;

function create(
  gateways: number,
  limit: number,
  more: Partial<Parameters<typeof LimitCrowd.create>[0]> = {},
): LimitCrowd {
  return LimitCrowd.create({
    gateways,
    limitAt: at => (at >= FROM_MS ? limit : undefined),
    demandAt: () => (Math.max(1, limit) * DEMAND) / gateways,
    random: createRandom(SEED),
    ...more,
  });
}

const countAllowed = (limit: number) => Math.floor(limit * 4 + 1);

describe('a limit that a backend server names', () => {
  test.each(CASES)(
    'is kept by %d gateways together, and used, at %d a second',
    async (gateways, limit) => {
      const crowd = create(gateways, limit);
      await crowd.run(FROM_MS + 60_000);

      expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(limit));
      const used = crowd.countSent(FROM_MS + 10_000, FROM_MS + 60_000);
      expect(used).toBeGreaterThanOrEqual(0.9 * limit * 50);
    },
  );

  test.each(SIZES)('is known to all of %d gateways soon', async gateways => {
    // Only the first one sends anything there.
    const demandAt = (_at: number, gateway: number) => (gateway === 0 ? 20 : 0);
    const crowd = create(gateways, 3.7, {demandAt});
    await crowd.run(FROM_MS);
    while (crowd.firstNamedAt === undefined) {
      await crowd.run(crowd.time.now() + 10);
    }
    await crowd.run(crowd.firstNamedAt + KNOWN_WITHIN_MS);

    expect(crowd.countKnowing()).toBe(gateways);
  });

  test.each(SIZES)('is over for all of %d gateways soon', async gateways => {
    const endsAt = FROM_MS + 10_000;
    const limitAt = (at: number) =>
      at >= FROM_MS && at < endsAt ? 3.7 : undefined;
    const crowd = create(gateways, 3.7, {limitAt});
    await crowd.run(endsAt - 1);
    expect(crowd.countKnowing()).toBe(gateways);
    // The next permit and its answer come before the news of it.
    await crowd.run(endsAt + 500 + KNOWN_WITHIN_MS);

    expect(crowd.countKnowing()).toBe(0);
  });

  test('of nothing ends, too, though hardly anything is sent', async () => {
    const endsAt = FROM_MS + 20_000;
    const limitAt = (at: number) =>
      at >= FROM_MS && at < endsAt ? 0 : undefined;
    const crowd = create(16, 0, {limitAt, demandAt: () => 1});
    await crowd.run(endsAt);
    expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(0));
    await crowd.run(endsAt + 6_000);

    expect(crowd.countKnowing()).toBe(0);
  });

  test.each(SIZES)(
    'is used wherever the demand goes, of %d',
    async gateways => {
      // All demand is at one gateway, and at another every 3 s.
      const demandAt = (at: number, gateway: number) =>
        Math.floor(at / 3_000) % gateways === gateway ? 20 : 0;
      const crowd = create(gateways, 5, {demandAt});
      await crowd.run(FROM_MS + 60_000);

      expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(5));
      const used = crowd.countSent(FROM_MS + 10_000, FROM_MS + 60_000);
      expect(used).toBeGreaterThanOrEqual(0.9 * 5 * 50);
    },
  );

  test.each(SIZES)('stands when it changes, at %d gateways', async gateways => {
    const limitAt = (at: number) =>
      at < FROM_MS ? undefined : at < FROM_MS + 20_000 ? 20 : 2;
    const demandAt = () => 80 / gateways;
    const crowd = create(gateways, 20, {limitAt, demandAt});
    await crowd.run(FROM_MS + 40_000);

    expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(20));
    // Once all have heard and the window of the old limit is over.
    const changedAt = FROM_MS + 20_000 + KNOWN_WITHIN_MS;
    expect(crowd.countMost(changedAt)).toBeLessThanOrEqual(countAllowed(2));
  });
});

test('a figure that changes with each answer wakes no other gateway', async () => {
  let figure = 5;
  const limitAt = () => (figure += 0.1);
  const crowd = create(16, 5, {limitAt});
  await crowd.run(FROM_MS);
  const {limitsTag} = crowd.gateways[0].limits.describeNews();
  await crowd.run(FROM_MS + 10_000);

  expect(figure).toBeGreaterThan(6);
  expect(crowd.gateways[0].limits.describeNews().limitsTag).toBe(limitsTag);
});

describe('beside faults a limit is kept', () => {
  test.each(CASES)(
    'by %d gateways, at %d a second',
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
          gateway.isCutOff = true;
          time.after(4_000, () => (gateway.isCutOff = false));
        },
        () => crowd.changeLeader(1_000),
      ];
      for (let at = 5_000; at < 60_000; at += 2_500) {
        time.after(at, () => faults[Math.floor(random() * faults.length)]());
      }
      await crowd.run(70_000);

      expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(limit));
      expect(crowd.countSent(60_000, 70_000)).toBeGreaterThan(0);
    },
  );

  test.each(LIMITS)(
    'while one leader follows the other, at %d a second',
    async limit => {
      const crowd = create(3, limit);
      for (let at = 5_000; at < 30_000; at += 1_000) {
        crowd.time.after(at, () => crowd.changeLeader(20));
      }
      await crowd.run(30_000);
      expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(limit));
      await crowd.run(60_000);

      expect(crowd.countMost()).toBeLessThanOrEqual(countAllowed(limit));
      const used = crowd.countSent(40_000, 60_000);
      expect(used).toBeGreaterThanOrEqual(0.9 * limit * 20);
    },
  );

  test('and a permit that was suspended on its way is not used', async () => {
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
      onNews: () => undefined,
    });
    limits.record(BACKEND, 5, -1);

    expect(await limits.acquirePermit(BACKEND)).toBeUndefined();
  });

  test('and a new start of the backend server has none', async () => {
    const crowd = create(3, 5);
    await crowd.run(FROM_MS + 5_000);
    const [{limits}] = crowd.gateways;

    expect(limits.isLimited(BACKEND)).toBe(true);
    expect(limits.isLimited('b1@2')).toBe(false);
  });
});
