/**
 * Plays a fleet that loses hosts all the time with each mechanism of the plan
 * switched off in turn, and prints what part of the demand was served.
 *
 * Usage: `npm run bench:policy -- [SEEDS]`
 */
import {EnginePolicy} from '../src/coordination/groups/engine_policy';
import {EngineFleet} from '../test/support/engine_fleet';
import {createRandom} from '../test/support/create_random';
import {drawLosses} from '../test/support/draw_losses';
import {PROFILE} from '../test/support/engine_plan';

const DEFAULT_SEEDS = 24;
const LENGTH_MS = 56_000;

/** A mechanism of the plan, or the split of the hosts, switched off. */
type Variant = EnginePolicy & {readonly followsDemand?: boolean};

/** The mechanisms; without none the plan is as it is made. */
const VARIANTS: Readonly<Record<string, Variant>> = {
  'as it is': {},
  'hosts split as configured': {followsDemand: false},
  'no slow groups': {formsCrossDomainGroups: false},
  'no moves': {movesHosts: false},
  'held groups not counted before moves': {countsHeldGroups: false},
  'no hosts reserved': {reservesHosts: false},
  'held hosts not reserved': {reservesHeldHosts: false},
};

interface Fleet {
  /** Hosts of each domain. */
  readonly domain: number;
  /** Three without it. */
  readonly domains?: number;
  /** Hosts of a group of each model. */
  readonly sizes: readonly [number, number];
  /** Groups that the demand takes. */
  readonly demand: Readonly<Record<string, number>>;
  /** Between two losses. */
  readonly everyMs: number;
}

/** Fleets of several sizes. */
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

function play(fleet: Fleet, seed: number, variant: Variant) {
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

function compute(values: readonly number[]) {
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
  const full = seeds.map(seed => play(fleet, seed, {}));
  for (const [name, variant] of Object.entries(VARIANTS)) {
    const results = seeds.map((seed, at) =>
      name === 'as it is' ? full[at] : play(fleet, seed, variant),
    );
    const {mean} = compute(results.map(({covered}) => covered));
    const worst = compute(results.map(result => result.worst)).mean;
    const change = compute(
      results.map(({covered}, at) => covered - full[at].covered),
    );
    console.log(
      `  ${name.padEnd(38)} served ${mean.toFixed(3)}, worst 4 s ${worst.toFixed(3)}, change ${change.mean.toFixed(3)} +- ${change.error.toFixed(3)}`,
    );
  }
}
