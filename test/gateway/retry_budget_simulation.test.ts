import {describe, expect, test} from 'vitest';
import {createRandom} from '../support/create_random';
import {RetrySimulation} from '../support/retry_simulation';

const LIMITS = {ratio: 0.2, windowMs: 10_000, slack: 200};
const SIZES = [3, 16, 340];
/** Requests per second of one gateway. */
const DEMAND = 22;
const SEED = 7;
/** Several windows; shorter for many gateways, whose simulation is slow. */
const RUN_MS = 60_000;
const LARGE_RUN_MS = 20_000;

type Fleet = RetrySimulation;

function create(
  gateways: number,
  more: Partial<Parameters<typeof RetrySimulation.create>[0]> = {},
): Fleet {
  return RetrySimulation.create({
    gateways,
    limits: LIMITS,
    demandAt: () => DEMAND,
    random: createRandom(SEED),
    ...more,
  });
}

async function run(fleet: Fleet): Promise<number> {
  const isLarge = fleet.gateways.length > 100;
  await fleet.run(isLarge ? LARGE_RUN_MS : RUN_MS);
  return fleet.measureUse();
}

// Each life of a gateway had a full share of the slack.
test('gateways that restart in series send no more retries than the budget allows', async () => {
  const fleet = create(5);
  fleet.repeat(2_000, () => fleet.restartAll());

  expect(await run(fleet)).toBeLessThanOrEqual(1);
});

// The first gateways that a new leader hears were told that they are alone.
test('gateways send no more retries than the budget allows while leaders change', async () => {
  const fleet = create(5);
  fleet.repeat(3_000, () => fleet.changeLeader(500));

  expect(await run(fleet)).toBeLessThanOrEqual(1);
});

/** Faults and shifts of load, each applied to a new fleet. */
const FAULTS: Readonly<Record<string, (gateways: number) => Fleet>> = {
  'without faults': gateways => create(gateways),
  'restarted in series': gateways => {
    const fleet = create(gateways);
    fleet.repeat(2_000, () => fleet.restartAll());
    return fleet;
  },
  'under changing leaders': gateways => {
    const fleet = create(gateways);
    fleet.repeat(3_000, () => fleet.changeLeader(500));
    return fleet;
  },
  'restarted under changing leaders': gateways => {
    const fleet = create(gateways);
    fleet.repeat(2_000, () => fleet.restartAll());
    fleet.repeat(3_000, () => fleet.changeLeader(250));
    return fleet;
  },
  'cut off from control in turn': gateways => {
    const fleet = create(gateways);
    let next = 0;
    fleet.repeat(1_500, () => {
      fleet.cutOff(next % gateways, 4_000);
      next += 1;
    });
    return fleet;
  },
  'suspended in turn': gateways => {
    const fleet = create(gateways);
    let next = 0;
    fleet.repeat(1_500, () => {
      fleet.suspend(next % gateways, 5_000);
      next += 1;
    });
    return fleet;
  },
  'all suspended at once': gateways => {
    const fleet = create(gateways);
    fleet.repeat(6_000, () => {
      fleet.gateways.forEach(({index}) => fleet.suspend(index, 4_000));
    });
    return fleet;
  },
  'that are replaced': gateways => {
    const fleet = create(gateways);
    let next = 0;
    fleet.repeat(2_000, () => {
      fleet.removeGateway(next);
      fleet.addGateways(1);
      next += 1;
    });
    return fleet;
  },
  'of which more are added': gateways => {
    const fleet = create(gateways);
    fleet.repeat(5_000, () => fleet.addGateways(2));
    return fleet;
  },
  'whose traffic moves from one to another': gateways =>
    create(gateways, {
      demandAt: (at, gateway) =>
        Math.floor(at / 4_000) % gateways === gateway ? DEMAND * gateways : 0,
    }),
  'whose callers want retries for some seconds only': gateways =>
    create(gateways, {wantsRetries: at => at % 15_000 > 11_000}),
  'whose callers want retries after their traffic has moved': gateways =>
    create(gateways, {
      demandAt: (at, gateway) =>
        Math.floor(at / 5_000) % gateways === gateway ? DEMAND * gateways : 0,
      wantsRetries: at => at % 5_000 > 4_000 || at % 5_000 < 1_000,
    }),
  'whose traffic falls to a tenth': gateways =>
    create(gateways, {
      demandAt: at => (at % 24_000 < 12_000 ? DEMAND : DEMAND / 10),
    }),
  'whose traffic falls to a tenth and that restart': gateways => {
    const fleet = create(gateways, {
      demandAt: at => (at % 24_000 < 12_000 ? DEMAND : DEMAND / 10),
    });
    fleet.repeat(2_000, () => fleet.restartAll());
    return fleet;
  },
};

describe.each(SIZES)('%d gateways keep to the retry budget', gateways => {
  test.each(Object.keys(FAULTS))('%s', async fault => {
    expect(await run(FAULTS[fault](gateways))).toBeLessThanOrEqual(1);
  });
});

const FAULT_SEEDS = Array.from({length: 20}, (_, seed) => seed);

test.each(FAULT_SEEDS)(
  'five gateways keep to the retry budget under random faults (seed %d)',
  async seed => {
    const random = createRandom(seed);
    const fleet = create(5, {
      random,
      demandAt: (at, gateway) =>
        DEMAND * (Math.floor(at / 3_000 + seed) % 5 === gateway ? 3 : 0.5),
    });
    const pick = () => Math.floor(random() * 5);
    const faults = [
      () => fleet.gateways[pick()].restart(),
      () => fleet.restartAll(),
      () => fleet.changeLeader(random() * 1_000),
      () => fleet.cutOff(pick(), random() * 6_000),
      () => fleet.suspend(pick(), random() * 6_000),
    ];
    fleet.repeat(700, () => faults[Math.floor(random() * faults.length)]());

    expect(await run(fleet)).toBeLessThanOrEqual(1);
  },
);

test.each(SIZES)('%d gateways use the budget when callers need it', async n => {
  expect(await run(create(n))).toBeGreaterThanOrEqual(0.8);
});

test.each(SIZES)('one of %d gateways uses the whole budget', async gateways => {
  const demandAt = (_at: number, gateway: number) =>
    gateway === 0 ? DEMAND * gateways : 0;

  expect(await run(create(gateways, {demandAt}))).toBeGreaterThanOrEqual(0.8);
});

test('a restarted gateway that is cut off from control retries by the requests that it received at once', async () => {
  const fleet = create(3);
  await fleet.run(20_000);
  fleet.cutOff(0, 5_000);
  const [gateway] = fleet.gateways;
  gateway.restart();
  for (let count = 0; count < 20; count += 1) {
    gateway.budget.recordRequest();
  }
  const granted = Array.from({length: 20}, () => gateway.budget.takeRetry());

  // Half of the ratio: the other half is earned half a window later.
  expect(granted.filter(Boolean)).toHaveLength(2);
});
