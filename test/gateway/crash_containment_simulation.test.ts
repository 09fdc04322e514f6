/**
 * Simulates requests that crash backend servers and are retried at every
 * gateway, along with healthy requests and unrelated losses.
 */
import {describe, expect, test} from 'vitest';
import {CrashFleetOptions} from '../support/crash_fleet_options';
import {runCrashFleet} from '../support/crash_fleet';
import {createRandom} from '../support/create_random';

const SEEDS = [1, 2, 3, 4, 5, 6];
const LOAD: Omit<CrashFleetOptions, 'random'> = {
  gateways: 5,
  servers: 9,
  perSecond: 80,
  streamMs: 700,
  durationMs: 15_000,
  marked: 1,
  poisonRetryMs: 400,
  losses: [],
  newsMs: 30,
};
/** Consecutive losses, half a second apart. */
const SERIES = [0, 1, 2, 3, 4, 5].map(at => ({at: 3_000 + at * 500, count: 1}));

/**
 * Objectives: two crashes in the median, three at most; nothing sent once all
 * gateways know, which takes up to half a second; no other request refused.
 */
const MEDIAN_ENDED = 2;
const MOST_ENDED = 3;
const KNOWN_WITHIN_MS = 500;

async function play(changes: Partial<CrashFleetOptions> = {}) {
  const results = [];
  for (const seed of SEEDS) {
    const random = createRandom(seed);
    results.push(await runCrashFleet({...LOAD, ...changes, random}));
  }
  const ended = results
    .flatMap(({crashesByPoisonRequest}) => crashesByPoisonRequest)
    .sort();
  return {
    ended,
    median: ended[Math.floor(ended.length / 2)],
    most: Math.max(0, ...ended),
    sentAfterVerdict: results.map(({sentAfterVerdict}) => sentAfterVerdict),
    propagationMs: results.flatMap(({propagationMs}) => propagationMs),
    refused: results.map(({healthyRejected}) => healthyRejected),
  };
}

const NONE = SEEDS.map(() => 0);

describe('a request that crashes backend servers', () => {
  test('crashes two in the median and three at most, and no other request is refused', async () => {
    const {median, most, sentAfterVerdict, propagationMs, refused} =
      await play();
    expect(median).toBeLessThanOrEqual(MEDIAN_ENDED);
    expect(most).toBeLessThanOrEqual(MOST_ENDED);
    expect(sentAfterVerdict).toEqual(NONE);
    expect(propagationMs.length).toBe(SEEDS.length);
    expect(Math.max(...propagationMs)).toBeLessThan(KNOWN_WITHIN_MS);
    expect(refused).toEqual(NONE);
  });

  test.each([
    ['with two others of its kind', {marked: 3}],
    ['beside a series of losses', {losses: SERIES}],
    ['beside kills of gateways', {killEveryMs: 1_000}],
    ['beside losses of the leader', {leaderLostEveryMs: 2_000}],
    ['beside both', {killEveryMs: 1_000, leaderLostEveryMs: 2_000}],
    [
      'at 36 gateways with delayed updates',
      {gateways: 36, servers: 30, perSecond: 300, newsMs: 300},
    ],
  ])('%s, crashes three at most', async (_name, changes) => {
    const {most, sentAfterVerdict, refused} = await play(changes);
    expect(most).toBeLessThanOrEqual(MOST_ENDED);
    expect(sentAfterVerdict).toEqual(NONE);
    expect(refused).toEqual(NONE);
  });

  test('crashes many more if gateways share nothing', async () => {
    const {median} = await play({without: 'sharing'});
    expect(median).toBeGreaterThan(10);
  });
});

describe('losses that are not caused by a request', () => {
  test.each([
    ['correlated losses', [{at: 3_000, count: 4}]],
    ['a series of losses', SERIES],
    ['all at once', [{at: 3_000, count: 9}]],
  ])('%s: no request is refused', async (_name, losses) => {
    expect((await play({marked: 0, losses})).refused).toEqual(NONE);
  });
});
