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

/** Three backend servers lost at once, and others half a second apart. */
const DOMAIN_LOSS = [{at: 2_500, count: 3}];
const SERIES = [0, 1, 2, 3, 4].map(at => ({at: 2_000 + at * 500, count: 1}));

// Each request with the part was new, and crashed two backend servers before it was held back.
describe('requests that share a part which crashes backend servers', () => {
  test('crash three in the median and five at most', async () => {
    const {median, most, sentAfterVerdict, refused} = await play();
    expect(median).toBeLessThanOrEqual(MEDIAN_ENDED);
    expect(most).toBeLessThanOrEqual(MOST_ENDED);
    expect(sentAfterVerdict).toEqual(NONE);
    expect(refused).toEqual(NONE);
  });

  const FAULTS: Readonly<Record<string, Partial<CrashFleetOptions>>> = {
    'with three such parts at once': {marked: 3, servers: 24},
    'that always comes with another part': {
      parts: {
        ofMarked: marked => ['common', `beside${marked}`, `poison${marked}`],
        ofHealthy: count => ['common', `subject${count % 12}`],
      },
    },
    'that is the only part': {
      parts: {
        ofMarked: marked => [`poison${marked}`],
        ofHealthy: () => [],
      },
    },
    'beside the loss of a domain': {losses: DOMAIN_LOSS, servers: 24},
    'beside a series of losses': {losses: SERIES, servers: 24},
    'beside kills of gateways': {killEveryMs: 1_000},
    'beside losses of the leader': {leaderLostEveryMs: 2_000},
    'beside kills and losses of the leader': {
      killEveryMs: 1_000,
      leaderLostEveryMs: 2_000,
    },
    'at 36 gateways with delayed updates': {
      gateways: 36,
      servers: 36,
      perSecond: 300,
      newsMs: 300,
    },
    'at 340 gateways with delayed updates': {
      gateways: 340,
      servers: 100,
      perSecond: 600,
      newsMs: 300,
      durationMs: 10_000,
    },
  };

  test.each(Object.keys(FAULTS))('%s, crash five at most', async name => {
    const {median, most, sentAfterVerdict, refused} = await play(FAULTS[name]);
    console.log(
      name,
      JSON.stringify({median, most, sentAfterVerdict, refused}),
    );
    console.log(
      name,
      JSON.stringify({median, most, sentAfterVerdict, refused}),
    );
    expect(median).toBeLessThanOrEqual(MEDIAN_ENDED);
    expect(most).toBeLessThanOrEqual(MOST_ENDED);
    expect(sentAfterVerdict).toEqual(NONE);
    expect(refused).toEqual(NONE);
  });
});

/** Draws how many gateways, losses and parts a day has, and whether a part crashes backend servers. */
function drawDay(seed: number): CrashFleetOptions {
  const random = createRandom(seed);
  const losses = Array.from({length: Math.floor(random() * 4)}, () => ({
    at: 1_000 + random() * 6_000,
    count: 1 + Math.floor(random() * 5),
  }));
  const subjects = 4 + Math.floor(random() * 60);
  return {
    ...LOAD,
    gateways: 3 + Math.floor(random() * 5),
    servers: 24,
    durationMs: 10_000,
    marked: Math.floor(random() * 3),
    losses,
    killEveryMs: random() < 0.3 ? 2_000 : undefined,
    leaderLostEveryMs: random() < 0.3 ? 3_000 : undefined,
    parts: {
      ofMarked: marked => ['common', `beside${marked}`, `poison${marked}`],
      ofHealthy: count => ['common', `subject${count % subjects}`],
    },
    random,
  };
}

const DAYS = Array.from({length: 200}, (_, seed) => seed);
const DAYS_PER_TEST = 25;
/** How often requests begin at the first attempt, compared to a day on which no part is known. */
const MIN_BEGUN = 0.95;

describe('healthy requests with the same callers and other parts', () => {
  test.each(DAYS.filter(seed => seed % DAYS_PER_TEST === 0))(
    'are never refused for good and begin as often as without the parts, over 25 drawn days from %d on',
    async first => {
      for (const seed of DAYS.slice(first, first + DAYS_PER_TEST)) {
        const day = await runCrashFleet(drawDay(seed));
        const {marked, ...options} = drawDay(seed);
        const without = await runCrashFleet({...options, marked: 0});
        expect(marked).toBeGreaterThanOrEqual(0);
        expect([seed, day.healthyRejected]).toEqual([seed, 0]);
        expect([seed, Math.max(0, ...day.crashesByPoisonRequest) > 5]).toEqual([
          seed,
          false,
        ]);
        expect(
          day.begunAtFirstAttempt / without.begunAtFirstAttempt,
        ).toBeGreaterThanOrEqual(MIN_BEGUN);
      }
    },
  );

  test('are never refused when backend servers are lost without any request that caused it', async () => {
    const losses = [...SERIES, ...DOMAIN_LOSS, {at: 6_000, count: 8}];
    const {refused} = await play({marked: 0, losses, servers: 24});
    expect(refused).toEqual(NONE);
  });
});
