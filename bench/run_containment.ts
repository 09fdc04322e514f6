/**
 * Plays gateways before backend servers that end under some requests, and by
 * themselves in waves, and prints how many end, who is refused and what a repeat
 * costs, with each mechanism switched off in turn.
 *
 * Usage: `npm run bench:containment -- [SEEDS]`
 */
import {CrashFleetOptions} from '../test/support/crash_fleet_options';
import {CrashFleetResult} from '../test/support/crash_fleet_result';
import {runCrashFleet} from '../test/support/crash_fleet';
import {createRandom} from '../test/support/create_random';

const DEFAULT_SEEDS = 20;

type Load = Omit<CrashFleetOptions, 'random' | 'without'>;

const BASE: Load = {
  gateways: 5,
  servers: 9,
  perSecond: 80,
  streamMs: 700,
  durationMs: 20_000,
  marked: 1,
  poisonRetryMs: 400,
  losses: [],
  newsMs: 30,
};

const SERIES = [0, 1, 2, 3, 4, 5].map(at => ({at: 3_000 + at * 500, count: 1}));

const LOADS: Readonly<Record<string, Load>> = {
  'one request': BASE,
  'three requests': {...BASE, marked: 3},
  'one, 36 gateways, late news': {
    ...BASE,
    gateways: 36,
    servers: 30,
    perSecond: 300,
    newsMs: 300,
  },
  'one, gateways killed every second': {...BASE, killEveryMs: 1_000},
  'one, the leader lost every two seconds': {
    ...BASE,
    leaderLostEveryMs: 2_000,
  },
  'one, gateways killed and the leader lost': {
    ...BASE,
    killEveryMs: 1_000,
    leaderLostEveryMs: 2_000,
  },
  'twenty requests, each repeated': {...BASE, marked: 20},
  'one, and a series of losses': {...BASE, losses: SERIES},
  'no such request, a wave of four': {
    ...BASE,
    marked: 0,
    losses: [{at: 3_000, count: 4}],
  },
  'no such request, a series of six': {...BASE, marked: 0, losses: SERIES},
};

const VARIANTS: Readonly<Record<string, CrashFleetOptions['without']>> = {
  'as it is': undefined,
  'no trials': 'trials',
  'nothing shared': 'sharing',
};

/** The value below which a part of all lie; 0 of none. */
function findQuantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * part));
  return sorted[at] ?? 0;
}

function format(results: readonly CrashFleetResult[]): string {
  const ended = results.flatMap(
    ({crashesByPoisonRequest: endedByMarked}) => endedByMarked,
  );
  const known = results.flatMap(
    ({propagationMs: knownAfterMs}) => knownAfterMs,
  );
  const delays = results.flatMap(
    ({retryDelaysMs: repeatDelaysMs}) => repeatDelaysMs,
  );
  const count = (read: (result: CrashFleetResult) => number) =>
    results.reduce((sum, result) => sum + read(result), 0);
  return [
    `ended ${findQuantile(ended, 0.5)} (median) ${Math.max(0, ...ended)} (most)`,
    `sent when known ${count(({sentAfterVerdict: sentAfterKnown}) => sentAfterKnown)}`,
    `known after ${Math.round(Math.max(0, ...known))} ms (most)`,
    `healthy refused ${count(({healthyRejected: healthyRefused}) => healthyRefused)} of ${count(({healthy}) => healthy)}`,
    `repeat after ${Math.round(findQuantile(delays, 0.5))} ms (median) ${Math.round(findQuantile(delays, 0.95))} ms (95 in 100)`,
  ].join('; ');
}

async function run(seeds: number): Promise<void> {
  for (const [loadName, load] of Object.entries(LOADS)) {
    console.log(loadName);
    for (const [name, without] of Object.entries(VARIANTS)) {
      const results: CrashFleetResult[] = [];
      for (let seed = 1; seed <= seeds; seed += 1) {
        const random = createRandom(seed);
        results.push(await runCrashFleet({...load, without, random}));
      }
      console.log(`  ${name}: ${format(results)}`);
    }
  }
}

void run(Number(process.argv[2] ?? DEFAULT_SEEDS));
