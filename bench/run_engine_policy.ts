/**
 * Simulates a fleet that loses hosts continually, with each mechanism of the
 * planner disabled in turn, and prints the fraction of the demand that was served.
 * A last fleet has models of different urgency; there the demand served in time is
 * weighted by urgency.
 *
 * Usage: `npm run bench:policy -- [SEEDS]`
 */
import {EnginePolicy} from '../src/coordination/groups/engine_policy';
import {EngineFleet} from '../test/support/engine_fleet';
import {createRandom} from '../test/support/create_random';
import {drawLosses} from '../test/support/draw_losses';
import {PROFILE} from '../test/support/engine_plan';
import {UrgentFleetVariant, simulateUrgentFleet} from './urgent_fleet';

const DEFAULT_SEEDS = 24;
const LENGTH_MS = 56_000;

/** Switches for the mechanisms of the planner and for splitting hosts by demand. */
type Variant = EnginePolicy & {readonly followsDemand?: boolean};

/** Each variant disables one mechanism; `as it is` disables none. */
const VARIANTS: Readonly<Record<string, Variant>> = {
  'as it is': {},
  'hosts split as configured': {followsDemand: false},
  'no slow groups': {formsCrossDomainGroups: false},
  'no moves': {movesHosts: false},
  'held groups not counted before moves': {countsHeldGroups: false},
  'no hosts reserved': {reservesHosts: false},
  'held hosts not reserved': {reservesHeldHosts: false},
};

/** Ways to follow the urgency of the models; the first one does not. */
const URGENT_VARIANTS: Readonly<Record<string, UrgentFleetVariant>> = {
  'urgency not reported': {reportsUrgency: false},
  'by split': {policy: {restoresByUrgency: false, movesByUrgency: false}},
  'by restoration': {policy: {splitsByUrgency: false, movesByUrgency: false}},
  'by split and restoration': {policy: {movesByUrgency: false}},
  'by restoration and moves': {policy: {splitsByUrgency: false}},
  'by split, restoration and moves': {},
};
/** Factors of the demand of the urgent fleet: calm, and a heavy day. */
const URGENT_LOADS = [1, 1.3];

interface Fleet {
  /** Hosts in each domain. */
  readonly domain: number;
  /** Number of domains, 3 by default. */
  readonly domains?: number;
  /** Hosts in a group, by model. */
  readonly sizes: readonly [number, number];
  /** Groups that it takes to serve the demand, by model. */
  readonly demand: Readonly<Record<string, number>>;
  /** Mean milliseconds between two host losses. */
  readonly everyMs: number;
}

/** The simulated fleets, by the title that is printed. */
const FLEETS: Readonly<Record<string, Fleet>> = {
  'three domains of 8, groups of 4 and 2': {
    domain: 8,
    sizes: [4, 2],
    demand: {big: 2.2, low: 2.6},
    everyMs: 2_900,
  },
  'three domains of 11, groups of 6 and 3': {
    domain: 11,
    sizes: [6, 3],
    demand: {big: 1.8, low: 2.1},
    everyMs: 2_900,
  },
  'three domains of 27, groups of 12 and 6': {
    domain: 27,
    sizes: [12, 6],
    demand: {big: 1.8, low: 3.5},
    everyMs: 1_500,
  },
  'ten domains of 37, groups of 16 and 8': {
    domain: 37,
    domains: 10,
    sizes: [16, 8],
    demand: {big: 6, low: 10},
    everyMs: 1_000,
  },
};

function simulate(fleet: Fleet, seed: number, variant: Variant) {
  const {followsDemand, ...policy} = variant;
  const {domain, sizes, demand, everyMs} = fleet;
  const domains = Object.fromEntries(
    Array.from({length: fleet.domains ?? 3}, (_, at) => [`d${at}`, domain]),
  );
  const models = PROFILE.models.map((model, at) => ({
    ...model,
    size: sizes[at],
  }));
  return EngineFleet.run({
    profile: {...PROFILE, models},
    domains,
    demand,
    events: drawLosses({domains: Object.keys(domains), everyMs, seed}),
    lengthMs: LENGTH_MS,
    random: createRandom(seed),
    policy,
    followsDemand,
  });
}

function computeMean(values: readonly number[]) {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const error = Math.sqrt(squares / (values.length - 1) / values.length);
  return {mean, error};
}

const seeds = Array.from(
  {length: Number(process.argv[2] ?? DEFAULT_SEEDS)},
  (_, seed) => seed,
);
for (const [title, fleet] of Object.entries(FLEETS)) {
  console.log(`${title}, ${seeds.length} seeds`);
  const baseline = seeds.map(seed => simulate(fleet, seed, {}));
  for (const [name, variant] of Object.entries(VARIANTS)) {
    const results = seeds.map((seed, at) =>
      name === 'as it is' ? baseline[at] : simulate(fleet, seed, variant),
    );
    const {mean} = computeMean(results.map(({covered}) => covered));
    const worst = computeMean(results.map(result => result.worst)).mean;
    const change = computeMean(
      results.map(({covered}, at) => covered - baseline[at].covered),
    );
    console.log(
      `  ${name.padEnd(38)} served ${mean.toFixed(3)}, worst 4 s ${worst.toFixed(3)}, change ${change.mean.toFixed(3)} +- ${change.error.toFixed(3)}`,
    );
  }
}

for (const load of URGENT_LOADS) {
  console.log(
    `three domains of 19, groups of 8 and 4, the small model more urgent, ${load} times the demand, ${seeds.length} seeds`,
  );
  const results = Object.entries(URGENT_VARIANTS).map(([name, variant]) => ({
    name,
    plays: seeds.map(seed => simulateUrgentFleet(seed, {...variant, load})),
  }));
  const [{plays: baseline}] = results;
  for (const {name, plays} of results) {
    const describeMean = (
      read: (result: (typeof plays)[number]) => number,
      digits = 3,
    ) => computeMean(plays.map(read)).mean.toFixed(digits);
    const change = computeMean(
      plays.map(({inTime}, at) => inTime - baseline[at].inTime),
    );
    console.log(
      `  ${name.padEnd(32)} weighted: in time ${describeMean(({inTime}) => inTime)}, served ${describeMean(({served}) => served)}, change ${change.mean.toFixed(3)} +- ${change.error.toFixed(3)}; in time A ${describeMean(({byModel}) => byModel.A)}, B ${describeMean(({byModel}) => byModel.B)}; loads ${describeMean(({loads}) => loads, 0)}`,
    );
  }
}
