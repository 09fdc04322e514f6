/**
 * Replays a recorded day in which the least urgent requests were served best. Model B
 * has 103 of 117 requests a second and the highest priority, but the hosts stayed split
 * as configured, in halves. While a domain was lost, B had 3 groups and was overloaded;
 * when the domain returned, two groups of A were formed before any of B.
 */
import {describe, expect, test} from 'vitest';
import {computeBusyGroups} from '../../src/coordination/groups/compute_busy_groups';
import {computeUrgencyWeights} from '../../src/coordination/groups/compute_urgency_weights';
import {createRandom} from '../support/create_random';
import {
  CONTENTION_PROFILE,
  createContentionDemand,
  createContentionQueues,
} from '../support/engine_demand';
import {EngineFleet} from '../support/engine_fleet';
import {FleetEvent} from '../support/fleet_event';

const DOMAINS = {d0: 19, d1: 19, d2: 19};
const LENGTH_MS = 28_000;
const LOST_AT_MS = 11_000;
const RETURNS_AT_MS = 18_000;
const DEMAND = createContentionDemand();
const [, B] = CONTENTION_PROFILE.models;
const NEEDED_BY_B = Math.ceil(
  computeBusyGroups({profile: CONTENTION_PROFILE, model: B, demand: DEMAND.B}),
);

const WEIGHTS = computeUrgencyWeights({
  pool: 'p',
  models: ['A', 'B'],
  urgencies: [0, 1, 2],
  gateways: [{demand: DEMAND, queues: createContentionQueues('p')}],
});

/** The recorded faults; the domain that is lost differs, since the split does. */
function createFaults(lost: string, other: string): FleetEvent[] {
  return [
    {
      at: LOST_AT_MS,
      kind: 'cut-domain',
      domain: lost,
      durationMs: RETURNS_AT_MS - LOST_AT_MS,
    },
    {at: LOST_AT_MS, kind: 'change-leader', durationMs: 2_800},
    {at: 14_500, kind: 'lose-member', domain: other, model: 'B'},
  ];
}

interface Change {
  readonly at: number;
  readonly type: string;
  readonly model: string;
  readonly name: string;
  readonly domain: string;
}

/** Replays the day; the length of answers is known from `demandKnownAt`. */
function replay(
  events: readonly FleetEvent[],
  demandKnownAt: number,
  weights = WEIGHTS,
) {
  const unknown = Object.fromEntries(
    Object.entries(DEMAND).map(([model, demand]) => [
      model,
      {...demand, answerTokensPerSecond: 0},
    ]),
  );
  const {log, byModel} = EngineFleet.run({
    profile: CONTENTION_PROFILE,
    domains: DOMAINS,
    demand: {A: 0.9, B: 3.9},
    measureDemand: now => (now < demandKnownAt ? unknown : DEMAND),
    weights,
    events,
    lengthMs: LENGTH_MS,
    random: createRandom(1),
  });
  const changes = log.flatMap((line): Change[] => {
    const found = /^(\d+) (\S+) (([AB])-\d+)(?: in (\S+))?/.exec(line);
    const [, at, type, name, model, domain = ''] = found ?? [];
    return found ? [{at: Number(at), type, name, model, domain}] : [];
  });
  return {changes, byModel};
}

function listFormed(changes: readonly Change[], fromMs: number): Change[] {
  return changes.filter(({type, at}) => type === 'set-group' && at >= fromMs);
}

/** Counts the committed groups of A after each change; there are three at the start. */
function countGroupsOfA(changes: readonly Change[]) {
  let count = 3;
  return changes.flatMap(({at, type, model}) => {
    if (model !== 'A' || !['set-group', 'remove-group'].includes(type)) {
      return [];
    }
    count += type === 'set-group' ? 1 : -1;
    return [{at, count}];
  });
}

describe.each(['d0', 'd1', 'd2'])('a day in which %s is lost', lost => {
  const other = lost === 'd1' ? 'd2' : 'd1';
  const {changes} = replay(createFaults(lost, other), 1_000);

  test('has the split corrected within 3 s of the first demand', () => {
    const corrected = listFormed(changes, 0).filter(({at}) => at <= 4_000);
    expect(corrected.map(({model}) => model)).toEqual(['B', 'B']);
  });

  test('has no third group of A formed again', () => {
    const counts = countGroupsOfA(changes).filter(({at}) => at > 4_000);
    expect(Math.max(2, ...counts.map(({count}) => count))).toBe(2);
  });

  test('has groups of B formed first when the domain returns', () => {
    const [first] = listFormed(changes, RETURNS_AT_MS);
    expect(first.model).toBe('B');
  });
});

describe('a day in which the demand is known only after the domain is lost', () => {
  const {changes} = replay(createFaults('d0', 'd1'), LOST_AT_MS + 2_800);
  const formed = listFormed(changes, RETURNS_AT_MS);

  test('has B restored for its demand before any group of A', () => {
    const firstOfA = formed.findIndex(({model}) => model === 'A');
    const before = firstOfA < 0 ? formed : formed.slice(0, firstOfA);
    // B has three groups at most when the domain returns.
    expect(before.length).toBeGreaterThanOrEqual(NEEDED_BY_B - 3);
    expect(before.every(({model}) => model === 'B')).toBe(true);
  });

  test('keeps two groups of A in different domains', () => {
    const counts = countGroupsOfA(changes).filter(
      ({at}) => at > RETURNS_AT_MS + 1_000,
    );
    expect(Math.max(2, ...counts.map(({count}) => count))).toBe(2);
    const ended = new Set(
      changes.flatMap(({type, name}) => (type === 'end-group' ? [name] : [])),
    );
    const kept = ['A-1', 'A-2', 'A-3'].filter(name => !ended.has(name));
    const again = changes.filter(
      ({type, model}) => type === 'set-group' && model === 'A',
    );
    expect(kept.length + again.length).toBe(2);
  });
});

test('where all requests are equally urgent, the urgency of models is not known', () => {
  const equal = computeUrgencyWeights({
    pool: 'p',
    models: ['A', 'B'],
    urgencies: [1, 1],
    gateways: [{demand: DEMAND, queues: createContentionQueues('p')}],
  });
  expect(equal).toBeUndefined();
});
