/**
 * Simulates gateways with backend servers that crash on certain requests, and also
 * on their own in waves. Prints the crashes, the healthy requests refused and the
 * delay of retries, with the containment complete and with parts of it disabled.
 *
 * Usage: `npm run bench:containment -- [SEEDS]`
 */
import {CrashFleetOptions} from '../test/support/crash_fleet_options';
import {CrashFleetResult} from '../test/support/crash_fleet_result';
import {runCrashFleet} from '../test/support/crash_fleet';
import {createRandom} from '../test/support/create_random';

const DEFAULT_SEEDS = 20;

type Scenario = Omit<CrashFleetOptions, 'random' | 'without'>;

const BASE: Scenario = {
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

const LOSS_SERIES = [0, 1, 2, 3, 4, 5].map(at => ({
  at: 3_000 + at * 500,
  count: 1,
}));

const SCENARIOS: Readonly<Record<string, Scenario>> = {
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
  'one, and a series of losses': {...BASE, losses: LOSS_SERIES},
  'no such request, a wave of four': {
    ...BASE,
    marked: 0,
    losses: [{at: 3_000, count: 4}],
  },
  'no such request, a series of six': {...BASE, marked: 0, losses: LOSS_SERIES},
};

const VARIANTS: Readonly<Record<string, CrashFleetOptions['without']>> = {
  'as it is': undefined,
  'no trials': 'trials',
  'nothing shared': 'sharing',
};

/** The value below which the given fraction of all values lies; 0 for an empty list. */
function findQuantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * fraction));
  return sorted[at] ?? 0;
}

function formatResults(results: readonly CrashFleetResult[]): string {
  const ended = results.flatMap(
    ({crashesByPoisonRequest}) => crashesByPoisonRequest,
  );
  const known = results.flatMap(({propagationMs}) => propagationMs);
  const delays = results.flatMap(({retryDelaysMs}) => retryDelaysMs);
  const count = (read: (result: CrashFleetResult) => number) =>
    results.reduce((sum, result) => sum + read(result), 0);
  return [
    `ended ${findQuantile(ended, 0.5)} (median) ${Math.max(0, ...ended)} (most)`,
    `sent when known ${count(({sentAfterVerdict}) => sentAfterVerdict)}`,
    `known after ${Math.round(Math.max(0, ...known))} ms (most)`,
    `healthy refused ${count(({healthyRejected}) => healthyRejected)} of ${count(({healthy}) => healthy)}`,
    `repeat after ${Math.round(findQuantile(delays, 0.5))} ms (median) ${Math.round(findQuantile(delays, 0.95))} ms (95 in 100)`,
  ].join('; ');
}

async function run(seeds: number): Promise<void> {
  for (const [scenarioName, scenario] of Object.entries(SCENARIOS)) {
    console.log(scenarioName);
    for (const [name, without] of Object.entries(VARIANTS)) {
      const results: CrashFleetResult[] = [];
      for (let seed = 1; seed <= seeds; seed += 1) {
        const random = createRandom(seed);
        results.push(await runCrashFleet({...scenario, without, random}));
      }
      console.log(`  ${name}: ${formatResults(results)}`);
    }
  }
}

void run(Number(process.argv[2] ?? DEFAULT_SEEDS));
