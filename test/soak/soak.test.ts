import {expect, test} from 'vitest';
import {SoakRun} from './soak_run';

/** Some faults of several kinds; more seeds are played by hand. */
const FAULTS_MS = 5_000;

test('the programs keep their promises while processes are killed, frozen, stopped and lose disks', async () => {
  const run = await SoakRun.play({seed: 7, forMs: FAULTS_MS});

  expect(run.broken).toEqual([]);
  expect(run.answered).toBeGreaterThan(0);
  expect(run.acknowledged).toBeGreaterThan(0);
}, 120_000);
