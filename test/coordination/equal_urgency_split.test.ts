import {expect, test} from 'vitest';
import {computeModelNeeds} from '../../src/coordination/groups/compute_model_needs';
import {createEnginePlanInput} from '../../src/coordination/groups/create_engine_plan_input';
import {ShareAdjuster} from '../../src/coordination/groups/share_adjuster';
import {createHosts, NOW, PROFILE} from '../support/engine_plan';

const DEMAND = {
  big: {
    requestsPerSecond: 10,
    promptTokensPerSecond: 16_000,
    answerTokensPerSecond: 900,
  },
  low: {
    requestsPerSecond: 100,
    promptTokensPerSecond: 67_000,
    answerTokensPerSecond: 9_200,
  },
};

function plan(weights?: ReadonlyMap<string, number>) {
  return createEnginePlanInput({
    adjuster: ShareAdjuster.create(),
    domains: [8, 8, 8],
    demand: DEMAND,
    weights,
    input: {
      pool: 'p',
      profile: PROFILE,
      groups: [],
      backends: ['a', 'b', 'c'].flatMap(domain => createHosts(domain, 8)),
      now: NOW,
      silentAfterMs: 3_600,
      isInGracePeriod: false,
      isColdStart: false,
      mayRebalance: true,
      epoch: 1,
      findLoadingModel: () => undefined,
      isSaturated: () => false,
      isRetired: () => false,
      isLost: () => false,
      isHeadStopped: () => false,
      hasDepartedMember: () => false,
    },
  });
}

// Guards against a large model without groups where urgency comes from the workspaces: the
// requests of all models are about equally urgent then, but the split followed the rules
// for urgent models.
test('models of about equal urgency get the split that they get without urgency', () => {
  const {input, shifted} = plan(
    new Map([
      ['big', 1.01],
      ['low', 1],
    ]),
  );
  const plain = plan();

  expect(input.needs).toBeUndefined();
  expect(input.desiredGroups).toEqual(plain.input.desiredGroups);
  expect(shifted).toEqual(plain.shifted);
});

test('models that differ clearly in urgency have needs', () => {
  const weights = new Map([
    ['big', 0.5],
    ['low', 1],
  ]);
  const needs = computeModelNeeds({profile: PROFILE, demand: DEMAND, weights});
  expect([...(needs?.keys() ?? [])]).toEqual(['big', 'low']);
});
