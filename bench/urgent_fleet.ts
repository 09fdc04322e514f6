/** The fleet of docs/design/contention.md: two models of different urgency, single losses, and one domain lost for 7 s. */
import {computeBusyGroups} from '../src/coordination/groups/compute_busy_groups';
import {computeUrgencyWeights} from '../src/coordination/groups/compute_urgency_weights';
import {EnginePolicy} from '../src/coordination/groups/engine_policy';
import {createRandom} from '../test/support/create_random';
import {drawLosses} from '../test/support/draw_losses';
import {
  CONTENTION_PROFILE,
  createContentionDemand,
  createContentionQueues,
} from '../test/support/engine_demand';
import {EngineFleet} from '../test/support/engine_fleet';
import {EngineFleetResult} from '../test/support/engine_fleet_result';
import {FleetEvent} from '../test/support/fleet_event';

const POOL = 'p';
const DOMAINS = {d0: 19, d1: 19, d2: 19};
const LOSS_EVERY_MS = 3_000;
const DOMAIN_LOST_AT_MS = 11_000;
const DOMAIN_LOST_FOR_MS = 7_000;
/** Time without a leader, as recorded when the domain was lost. */
const LEADERLESS_MS = 2_800;
const LENGTH_MS = 32_000;
/** The first answers have ended by then, so their length is known. */
const DEMAND_KNOWN_AT_MS = 1_000;
const MEASURED_EVERY_MS = 200;
/** Range of the measured arrivals around their mean; A has fewer, so they vary more. */
const NOISE = {A: 0.4, B: 0.15};

/** Which mechanisms follow urgency; all of them by default. */
export interface UrgentFleetVariant {
  readonly policy?: EnginePolicy;
  /** Whether gateways report queues, so that urgency counts. */
  readonly reportsUrgency?: boolean;
  /** Factor of all arrivals. */
  readonly load?: number;
}

/** Fractions of the demand, weighted by the urgency of the requests. */
export interface UrgentFleetResult {
  readonly served: number;
  readonly inTime: number;
  readonly byModel: EngineFleetResult['inTime'];
  readonly loads: number;
}

/**
 * Simulates the fleet with one seed.
 *
 * @example
 * const {inTime} = simulateUrgentFleet(1, {reportsUrgency: false});
 */
export function simulateUrgentFleet(
  seed: number,
  {policy, reportsUrgency = true, load = 1}: UrgentFleetVariant,
): UrgentFleetResult {
  const profile = CONTENTION_PROFILE;
  const demand = createContentionDemand({A: load, B: load});
  const weights = computeUrgencyWeights({
    pool: POOL,
    models: profile.models.map(({name}) => name),
    urgencies: [0, 1, 2],
    gateways: [{demand, queues: createContentionQueues(POOL)}],
  });
  const result = EngineFleet.run({
    profile,
    domains: DOMAINS,
    demand: Object.fromEntries(
      profile.models.map(model => [
        model.name,
        computeBusyGroups({profile, model, demand: demand[model.name]}),
      ]),
    ),
    measureDemand: createMeasurement(seed, load),
    weights: reportsUrgency ? weights : undefined,
    events: createEvents(seed),
    lengthMs: LENGTH_MS,
    random: createRandom(seed),
    policy,
  });
  const computeWeighted = (parts: Readonly<Record<string, number>>) => {
    const rates = profile.models.map(({name}) => ({
      part: parts[name],
      rate: demand[name].requestsPerSecond * (weights?.get(name) ?? 1),
    }));
    const total = rates.reduce((sum, {rate}) => sum + rate, 0);
    return rates.reduce((sum, {rate, part}) => sum + rate * part, 0) / total;
  };
  return {
    served: computeWeighted(result.byModel),
    inTime: computeWeighted(result.inTime),
    byModel: result.inTime,
    loads: result.loads,
  };
}

function createEvents(seed: number): FleetEvent[] {
  const names = Object.keys(DOMAINS);
  const losses = drawLosses({domains: names, everyMs: LOSS_EVERY_MS, seed});
  return [
    ...losses.filter(({kind}) => kind !== 'cut'),
    {
      at: DOMAIN_LOST_AT_MS,
      kind: 'cut-domain',
      domain: names[seed % names.length],
      durationMs: DOMAIN_LOST_FOR_MS,
    },
    {at: DOMAIN_LOST_AT_MS, kind: 'change-leader', durationMs: LEADERLESS_MS},
  ];
}

/** Creates measurements that vary around the demand, with the length of answers unknown at first. */
function createMeasurement(seed: number, load: number) {
  const random = createRandom(seed);
  let measuredAt = -Infinity;
  let measured = createContentionDemand({A: load, B: load});
  return (now: number) => {
    if (now - measuredAt >= MEASURED_EVERY_MS) {
      measuredAt = now;
      measured = createContentionDemand({
        A: load * (1 + NOISE.A * (random() - 0.5)),
        B: load * (1 + NOISE.B * (random() - 0.5)),
      });
    }
    return now >= DEMAND_KNOWN_AT_MS
      ? measured
      : Object.fromEntries(
          Object.entries(measured).map(([model, demand]) => [
            model,
            {...demand, answerTokensPerSecond: 0},
          ]),
        );
  };
}
