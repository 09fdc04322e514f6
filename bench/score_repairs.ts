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
const TOTAL_MS = 600_000;
const USERS = {
  kura: {groupDowntime: 3, strandedAccelerators: 1},
  'tbilisi-linen': {groupDowntime: 1, strandedAccelerators: 3},
};

const NO_FAILURE = {name: 'no failure', events: []};

/** One user's scores on one failure sequence, by policy. */
export interface ScoreRow {
  readonly user: string;
  readonly script: string;
  readonly scores: Readonly<Record<string, RepairScore>>;
  /** Cost of the same time without any failure: spares are idle then, too. */
  readonly floor: number;
}

/** Scores the planner and both baselines on every sequence, for both users. */
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
    const play = (policy: RepairPolicy, script: FailureScenario) =>
      FleetSimulator.run({...options, policy}, script, TOTAL_MS);
    const floor = play(planner, NO_FAILURE).cost;
    return failureScenarios.map(script => ({
      user,
      script: script.name,
      floor,
      scores: Object.fromEntries(
        Object.entries(policies).map(([name, policy]) => [
          name,
          play(policy, script),
        ]),
      ),
    }));
  });
}
