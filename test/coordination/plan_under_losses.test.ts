/**
 * Simulates continuous losses: a group member is lost every three seconds, a few hosts
 * are partitioned for a while, and empty replacement hosts need about 14 s for their
 * first weights. The use of the other hosts meanwhile decides how much demand is served.
 */
import {describe, expect, test} from 'vitest';
import {EngineFleet} from '../support/engine_fleet';
import {createRandom} from '../support/create_random';
import {drawLosses} from '../support/draw_losses';
import {
  createGroup,
  createHost,
  createPlan,
  createSizedProfile,
  describeActions,
} from '../support/engine_plan';

const DOMAINS = {a: 11, b: 11, c: 11};
const LENGTH_MS = 56_000;
const SEEDS = Array.from({length: 8}, (_, seed) => seed);

const profile = createSizedProfile(6, 3);

function simulate(policy?: Parameters<typeof EngineFleet.run>[0]['policy']) {
  const results = SEEDS.map(seed =>
    EngineFleet.run({
      profile,
      domains: DOMAINS,
      demand: {big: 1.8, low: 2.1},
      events: drawLosses({
        domains: Object.keys(DOMAINS),
        everyMs: 2_900,
        seed,
      }),
      lengthMs: LENGTH_MS,
      random: createRandom(seed + 100),
      policy,
    }),
  );
  const sum = results.reduce((total, {covered}) => total + covered, 0);
  return {results, covered: sum / results.length};
}

describe('a fleet that loses members continuously', () => {
  const baseline = simulate();

  test('serves nearly nine tenths of its demand', () => {
    expect(baseline.covered).toBeGreaterThan(0.88);
  });

  test('gives the same result when the simulation is repeated', () => {
    expect(simulate().results[0].log).toEqual(baseline.results[0].log);
  });

  test('leaves no model without groups for most of the time', () => {
    const parts = baseline.results.flatMap(({byModel}) =>
      Object.values(byModel),
    );
    expect(Math.min(...parts)).toBeGreaterThan(0.5);
  });
});

const holdsBig = {model: 'big', stagedModels: ['low']};
const desiredGroups = new Map([
  ['big', 2],
  ['low', 2],
]);

/** Creates a complete group of the small model whose members report it. */
function createLow(number: number, domain: string) {
  const name = `low-${number}`;
  const members = [`${name}a`, `${name}b`];
  const views = members.map((incarnation, rank) =>
    createHost(incarnation, {
      domain,
      model: 'low',
      stagedModels: ['big'],
      group: {name, epoch: number, rank, state: rank === 0 ? 'open' : 'ready'},
    }),
  );
  return {set: createGroup(members, {name, domain, epoch: number}), views};
}

describe('hosts of a model that lacks groups', () => {
  const low1 = createLow(1, 'e');
  const spares = ['a', 'b'].map(name => createHost(name, holdsBig));

  test('are reserved together with those of their domain that an unreachable head still holds', () => {
    const members = ['h', 'p', 'q', 'r'];
    const heldGroup = createGroup(members, {
      name: 'big-1',
      model: 'big',
      epoch: 9,
      isEnding: true,
      isReleased: true,
    });
    const others = members.slice(1).map(name => createHost(name, holdsBig));
    const actions = createPlan({
      groups: [low1.set, heldGroup],
      backends: [...low1.views, ...others, ...spares],
      desiredGroups,
      isLost: name => name === 'h',
    });
    expect(describeActions(actions)).not.toContain('set-group low-2');
  });
});

describe('a serving group', () => {
  const bigs = [1, 2].map(number => {
    const name = `big-${number}`;
    const members = ['a', 'b', 'c', 'd'].map(id => `${id}${number}`);
    const views = members.map((incarnation, rank) =>
      createHost(incarnation, {
        ...holdsBig,
        group: {
          name,
          epoch: number,
          rank,
          state: rank === 0 ? 'open' : 'ready',
        },
      }),
    );
    const set = createGroup(members, {name, model: 'big', epoch: number});
    return {set, views};
  });

  test('is not ended for a model whose groups are held by unreachable heads and return soon', () => {
    const {set, views} = createLow(1, 'e');
    const heldGroup = {...set, isEnding: true, isReleased: true};
    const second = {...createLow(2, 'f').set, isEnding: true, isReleased: true};
    const actions = createPlan({
      groups: [...bigs.map(({set}) => set), heldGroup, second],
      backends: [...bigs.flatMap(({views}) => views), ...views],
      desiredGroups,
      isSaturated: model => model === 'low',
      isLost: name => name === 'low-1a' || name === 'low-2a',
    });
    expect(
      describeActions(actions).filter(text => text.startsWith('end-')),
    ).toEqual([]);
  });
});
