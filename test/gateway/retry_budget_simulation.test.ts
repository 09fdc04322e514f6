import {expect, test} from 'vitest';
import {createRandom} from '../support/create_random';
import {RetrySimulation} from '../support/retry_simulation';

const LIMITS = {ratio: 0.2, windowMs: 10_000, slack: 200};
const GATEWAYS = 5;
/** Requests per second of all gateways together. */
const DEMAND = 110;
const SEED = 7;
const RUN_MS = 60_000;

function create(
  more: Partial<Parameters<typeof RetrySimulation.create>[0]> = {},
): RetrySimulation {
  return RetrySimulation.create({
    gateways: GATEWAYS,
    limits: LIMITS,
    demandAt: () => DEMAND / GATEWAYS,
    random: createRandom(SEED),
    ...more,
  });
}

// Each life of a gateway had a full share of the slack.
test('gateways that restart in series send no more retries than the budget allows', async () => {
  const fleet = create();
  fleet.repeat(2_000, () => fleet.restartAll());
  await fleet.run(RUN_MS);

  expect(fleet.measureUse()).toBeLessThanOrEqual(1);
});

// The first gateways that a new leader hears were told that they are alone.
test('gateways send no more retries than the budget allows while leaders change', async () => {
  const fleet = create();
  fleet.repeat(3_000, () => fleet.changeLeader(500));
  await fleet.run(RUN_MS);

  expect(fleet.measureUse()).toBeLessThanOrEqual(1);
});
