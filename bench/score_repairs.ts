import {planGroups} from '../src/coordination/groups/plan_groups';
import {planStandby} from '../src/coordination/groups/plan_standby';
import {Bundle} from '../src/protocol/bundle';
import {computeDigest} from '../src/protocol/compute_digest';
import {baselinePolicies} from './baseline_policies';
import {failureScenarios} from './failure_scenarios';
import {
  FailureScenario,
  RepairPolicy,
  RepairScore,
  FleetSimulator,
} from './fleet_simulator';

const DOMAINS = 6;
const HOSTS_PER_DOMAIN = 17;
const SIMULATED_MS = 600_000;
const USERS = {
  kura: {groupDowntime: 3, strandedAccelerators: 1},
  'tbilisi-linen': {groupDowntime: 1, strandedAccelerators: 3},
};

const NO_FAILURE = {name: 'no failure', events: []};

/** The scores of all policies in one failure scenario, under one operator's weights. */
export interface ScoreRow {
  readonly user: string;
  readonly scenario: string;
  readonly scores: Readonly<Record<string, RepairScore>>;
  /** Cost of a run without failures; not zero, since idle spares count as stranded. */
  readonly failureFreeCost: number;
}

/** Scores the planner and both baseline policies in every scenario, under both operators' weights. */
export function scoreRepairs(): ScoreRow[] {
  const planner = {plan: planGroups, planStandby};
  const policies = {planner, ...baselinePolicies};
  return Object.entries(USERS).flatMap(([user, weights]) => {
    const bundle = Bundle.parse({
      operator: user,
      version: 1,
      models: [
        {name: 'assistant', replicas: 24, hostsPerReplica: 4, loadSeconds: 60},
      ],
      workspaces: [{name: 'w', keyHashes: [computeDigest('k')]}],
      weights,
    });
    const options = {
      bundle,
      domains: DOMAINS,
      hostsPerDomain: HOSTS_PER_DOMAIN,
    };
    const simulate = (policy: RepairPolicy, scenario: FailureScenario) =>
      FleetSimulator.run({...options, policy}, scenario, SIMULATED_MS);
    const failureFreeCost = simulate(planner, NO_FAILURE).cost;
    return failureScenarios.map(scenario => ({
      user,
      scenario: scenario.name,
      failureFreeCost,
      scores: Object.fromEntries(
        Object.entries(policies).map(([name, policy]) => [
          name,
          simulate(policy, scenario),
        ]),
      ),
    }));
  });
}
