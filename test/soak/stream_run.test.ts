import {expect, test} from 'vitest';
import {StreamRun} from './stream_run';

/** Some faults of each kind; more seeds are played by hand. */
const FAULTS_MS = 6_000;
const LIMIT_MS = 60_000;

test(
  'no stream loses, repeats or mixes events, or looks complete too early, when gateways and backend servers are killed, frozen and stopped',
  async () => {
    const run = await StreamRun.play({seed: 12, durationMs: FAULTS_MS});

    const {complete, resumedByCallers, resumedByGateways, faults} =
      run.describe();
    expect(run.broken).toEqual([]);
    expect(complete).toBeGreaterThan(0);
    expect(resumedByCallers).toBeGreaterThan(0);
    expect(resumedByGateways).toBeGreaterThan(0);
    expect(faults).toBeGreaterThan(0);
  },
  LIMIT_MS,
);
