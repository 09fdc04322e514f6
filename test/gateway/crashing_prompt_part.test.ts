/**
 * Simulates requests whose prompts share a part that crashes backend servers, no two of them
 * alike, beside healthy requests with the same callers and other parts.
 */
import {describe, expect, test} from 'vitest';
import {runCrashFleet} from '../support/crash_fleet';
import {CrashFleetOptions} from '../support/crash_fleet_options';
import {createRandom} from '../support/create_random';

const SEEDS = [1, 2, 3, 4, 5, 6];
const LOAD: Omit<CrashFleetOptions, 'random'> = {
  gateways: 5,
  servers: 12,
  perSecond: 60,
  streamMs: 700,
  durationMs: 20_000,
  marked: 1,
  poisonRetryMs: 700,
  crashDelayMs: 180,
  losses: [],
  newsMs: 30,
  parts: {
    ofMarked: marked => ['common', `poison${marked}`],
    ofHealthy: count => ['common', `subject${count % 12}`],
  },
};
const MEDIAN_ENDED = 3;
const MOST_ENDED = 5;

async function play(changes: Partial<CrashFleetOptions> = {}, seeds = SEEDS) {
  const results = [];
  for (const seed of seeds) {
    const random = createRandom(seed);
    results.push(await runCrashFleet({...LOAD, ...changes, random}));
  }
  const ended = results
    .flatMap(({crashesByPoisonRequest}) => crashesByPoisonRequest)
    .sort((left, right) => left - right);
  return {
    median: ended[Math.floor(ended.length / 2)],
    most: Math.max(0, ...ended),
    sentAfterVerdict: results.map(({sentAfterVerdict}) => sentAfterVerdict),
    refused: results.map(({healthyRejected}) => healthyRejected),
    begun: Math.min(...results.map(each => each.begunAtFirstAttempt)),
  };
}

const NONE = SEEDS.map(() => 0);

// Each request with the part was new, and crashed two backend servers before it was held back.
describe('requests that share a part which crashes backend servers', () => {
  test('crash three in the median and five at most', async () => {
    const {median, most, sentAfterVerdict, refused} = await play();
    expect(median).toBeLessThanOrEqual(MEDIAN_ENDED);
    expect(most).toBeLessThanOrEqual(MOST_ENDED);
    expect(sentAfterVerdict).toEqual(NONE);
    expect(refused).toEqual(NONE);
  });
});
