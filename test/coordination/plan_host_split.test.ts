/**
 * Replays a recorded day in which the least urgent requests were served best. Model B
 * has 103 of 117 requests a second and the highest priority, but the hosts stayed split
 * as configured, in halves. While a domain was lost, B had 3 groups and was overloaded;
 * when the domain returned, two groups of A were formed before any of B.
 */
import {describe, expect, test} from 'vitest';
import {computeBusyGroups} from '../../src/coordination/groups/compute_busy_groups';
import {BackendView} from '../../src/coordination/groups/backend_view';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {listUrgencies} from '../../src/coordination/groups/list_urgencies';
import {computeUrgencyWeights} from '../../src/coordination/groups/compute_urgency_weights';
import {createRandom} from '../support/create_random';
import {
  CONTENTION_PROFILE,
  createContentionDemand,
  createContentionQueues,
} from '../support/engine_demand';
import {EngineFleet} from '../support/engine_fleet';
import {
  createGroup,
  createHost,
  createHosts,
  createPlan,
} from '../support/engine_plan';
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

const ROUTE = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream' as const,
  timeoutMs: 1_000,
  objectiveMs: 250,
  maxAttempts: 2,
  isAnonymous: true,
  isResumable: true,
};

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

/** Lists the domains of the groups of A at the end; there is one in each at the start. */
function listDomainsOfA(changes: readonly Change[]): string[] {
  const domains = new Map([
    ['A-1', 'd0'],
    ['A-2', 'd1'],
    ['A-3', 'd2'],
  ]);
  for (const {type, model, name, domain} of changes) {
    if (type === 'remove-group') {
      domains.delete(name);
    } else if (type === 'set-group' && model === 'A') {
      domains.set(name, domain);
    }
  }
  return [...domains.values()];
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

  test('ends with two groups of A in different domains', () => {
    const domains = listDomainsOfA(changes);
    expect([domains.length, new Set(domains).size]).toEqual([2, 2]);
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
    const domains = listDomainsOfA(changes);
    expect([domains.length, new Set(domains).size]).toEqual([2, 2]);
  });
});

describe('the weight of the requests of a model', () => {
  const models = ['A', 'B'];
  const queues = createContentionQueues('p');

  // Urgency must not change results where it does not differ.
  test.each([
    ['priorities are equal', [1, 1], queues],
    ['no gateway reports queues', [0, 1, 2], undefined],
    [
      'queues are those of another pool',
      [0, 1, 2],
      createContentionQueues('q'),
    ],
  ])('is not known where %s', (_, urgencies, reported) => {
    const gateways = [{demand: DEMAND, queues: reported}];
    const weights = computeUrgencyWeights({
      pool: 'p',
      models,
      urgencies,
      gateways,
    });
    expect(weights).toBeUndefined();
  });

  test('is higher for the more urgent model and 1 on the mean', () => {
    const a = WEIGHTS?.get('A') ?? 0;
    const b = WEIGHTS?.get('B') ?? 0;
    expect(b).toBeGreaterThan(4 * a);
    expect((a * 14 + b * 103) / 117).toBeCloseTo(1);
  });

  test('does not depend on which gateway has the requests', () => {
    const gateways = queues.map(report => ({
      demand: DEMAND,
      queues: [report],
    }));
    const weights = computeUrgencyWeights({
      pool: 'p',
      models,
      urgencies: [0, 1, 2],
      gateways,
    });
    expect(weights).toEqual(WEIGHTS);
  });

  // A gateway of an older version must neither raise nor lower a model.
  test('counts requests at a gateway without reports as equally urgent', () => {
    const weights = computeUrgencyWeights({
      pool: 'p',
      models,
      urgencies: [0, 1, 2],
      gateways: [{demand: DEMAND, queues}, {demand: DEMAND}],
    });
    const [a, b] = models.map(model => weights?.get(model) ?? 0);
    expect(a).toBeCloseTo(((WEIGHTS?.get('A') ?? 0) + 1) / 2);
    expect(b).toBeCloseTo(((WEIGHTS?.get('B') ?? 0) + 1) / 2);
  });
});

describe('the urgencies of the requests for a pool', () => {
  const createRoute = (pool: string, priority: number, weight = 1) => ({
    ...ROUTE,
    priority,
    targets: [{pool, weight}],
  });

  test('are the priorities of its routes and of workspaces', () => {
    const routes = [
      createRoute('p', 1),
      createRoute('p', 1),
      createRoute('q', 0),
      createRoute('p', 4, 0),
    ];
    const workspaces = [
      {name: 'w', keyHashes: []},
      {name: 'v', keyHashes: [], priority: 2},
    ];
    expect(listUrgencies({routes}, 'p')).toEqual([1]);
    expect(listUrgencies({routes, workspaces}, 'p')).toEqual([1, 2]);
    expect(listUrgencies({routes, workspaces}, 'r')).toEqual([]);
  });
});

describe('one plan', () => {
  const profile = CONTENTION_PROFILE;
  const needs = new Map([
    ['A', {weight: 0.2, busyGroups: 1, sufficientGroups: 2}],
    ['B', {weight: 1.1, busyGroups: 4, sufficientGroups: 5}],
  ]);
  const createGroups = (model: string, domain: string, count: number) =>
    Array.from({length: count}, (_, at) => {
      const name = `${model}-${domain}${at + 1}`;
      const size = model === 'A' ? 8 : 4;
      const ids = Array.from({length: size}, (__, rank) => `${name}-${rank}`);
      return {
        group: createGroup(ids, {name, model, domain}),
        hosts: ids.map((id, rank) =>
          createHost(id, {
            domain,
            model,
            stagedModels: ['A', 'B'].filter(other => other !== model),
            group: {name, epoch: 7, rank, state: 'open'},
          }),
        ),
      };
    });
  const plan = (
    parts: ReadonlyArray<ReturnType<typeof createGroups>[number]>,
    free: readonly BackendView[],
    changes: Partial<EnginePlanInput> = {},
  ) =>
    createPlan({
      profile,
      groups: parts.map(({group}) => group),
      backends: [...parts.flatMap(({hosts}) => hosts), ...free],
      desiredGroups: new Map([
        ['A', 3],
        ['B', 6],
      ]),
      needs,
      ...changes,
    }).flatMap(action => {
      if (action.type === 'set-group') {
        return [`form ${action.group.model} in ${action.group.domain}`];
      }
      return action.type === 'end-group' ? [`end ${action.name}`] : [];
    });
  const both = {model: 'A', stagedModels: ['B']};

  // The planner formed two groups of A from the hosts of a returned domain.
  test('forms groups of the more urgent model from hosts that either could use', () => {
    const parts = [...createGroups('A', 'x', 2), ...createGroups('B', 'y', 3)];
    const formed = plan(parts, createHosts('z', 8, both));
    expect(formed).toEqual(['form B in z', 'form B in z']);
  });

  test('forms no spare group of a less urgent model while a more urgent one lacks groups', () => {
    const parts = [...createGroups('A', 'x', 2), ...createGroups('B', 'y', 4)];
    const free = createHosts('z', 8, {model: 'A'});
    const mayRebalance = false;
    const formed = plan(parts, free, {mayRebalance});
    const equal = plan(parts, free, {mayRebalance, needs: undefined});
    expect(formed).toEqual([]);
    expect(equal).toEqual(['form A in z']);
  });

  test('forms the first group of a less urgent model before reserves of the other', () => {
    const parts = createGroups('B', 'y', 5);
    expect(plan(parts, createHosts('z', 8, both))).toEqual(['form A in z']);
  });

  test('forms the second group of a model in another domain than the first', () => {
    const parts = [...createGroups('A', 'x', 1), ...createGroups('B', 'y', 6)];
    const free = [...createHosts('x', 10, both), ...createHosts('z', 8, both)];
    const desiredGroups = new Map([
      ['A', 2],
      ['B', 6],
    ]);
    const formed = plan(parts, free, {desiredGroups});
    expect(formed.filter(change => change.startsWith('form A'))).toEqual([
      'form A in z',
    ]);
  });

  // While a domain was lost, B was overloaded and A still had two groups.
  test('ends a group of a less urgent model that has more than it needs', () => {
    const parts = [
      ...createGroups('A', 'x', 1),
      ...createGroups('A', 'z', 1),
      ...createGroups('B', 'y', 3),
    ];
    expect(plan(parts, [])).toEqual(['end A-x1']);
    expect(plan(parts, [], {needs: undefined})).toEqual([]);
  });

  test('leaves a less urgent model the groups that it needs', () => {
    const parts = [...createGroups('A', 'x', 1), ...createGroups('B', 'y', 3)];
    expect(plan(parts, [])).toEqual([]);
  });
});
