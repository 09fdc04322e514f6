import {expect, test} from 'vitest';
import {failedSeeds} from './failed_seeds';
import {SoakRun} from './soak_run';

/** Some faults of several kinds; more seeds are played by hand. */
const FAULTS_MS = 8_000;
/** For each seed that failed once. */
const SHORT_MS = 1_500;
const LIMIT_MS = 120_000;

test(
  'the programs keep their promises under faults of machines, links, signals and settings',
  async () => {
    const run = await SoakRun.play({seed: 7, durationMs: FAULTS_MS});

    const {broken, answered, acknowledged, faults} = run.describe();
    expect(broken).toEqual([]);
    expect(answered).toBeGreaterThan(0);
    expect(acknowledged).toBeGreaterThan(0);
    expect(faults).toBeGreaterThan(0);
  },
  LIMIT_MS,
);

test.each(failedSeeds)(
  'seed $seed breaks nothing any more: $cause',
  async ({seed}) => {
    const run = await SoakRun.play({seed, durationMs: SHORT_MS});

    expect(run.broken).toEqual([]);
  },
  LIMIT_MS,
);
