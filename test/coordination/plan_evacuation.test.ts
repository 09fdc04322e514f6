/**
 * Guards against groups that form in an evacuated zone, against groups elsewhere that are
 * missing because idle ones in the zone are counted, and against the end of groups whose
 * hosts nobody else can use: these serve at once when the zone is restored.
 */
import {expect, test} from 'vitest';
import {
  createGroup,
  createGroupReport,
  createHost,
  createHosts,
  createPlan,
  describeActions,
} from '../support/engine_plan';

const isEvacuated = (zone: string) => zone === 'x';
const desiredGroups = new Map([['low', 1]]);
/** Hosts that have the model and are in no group. */
const createSpares = (domain: string, count: number, zone: string) =>
  createHosts(domain, count, {zone, model: 'low', stagedModels: ['big']});

/** A group of the small model in one zone, open and complete. */
function createOpenGroup(zones: readonly [string, string] = ['x', 'x']) {
  const backends = zones.map((zone, rank) =>
    createHost(`m${rank}`, {
      zone,
      domain: zone,
      model: 'low',
      stagedModels: ['big'],
      ...createGroupReport(rank === 0 ? 'open' : 'ready', rank),
    }),
  );
  return {groups: [createGroup(['m0', 'm1'])], backends};
}

function listFormed(actions: ReturnType<typeof createPlan>) {
  return actions.flatMap(action =>
    action.type === 'set-group' ? [action.group.domain] : [],
  );
}

test('a group in an evacuated zone is replaced by one elsewhere, and is not ended', () => {
  const {groups, backends} = createOpenGroup();
  const input = {
    groups,
    backends: [...backends, ...createSpares('y', 2, 'y')],
    desiredGroups,
  };
  expect(listFormed(createPlan(input))).toEqual([]);

  const actions = createPlan({...input, isEvacuated});
  expect(listFormed(actions)).toEqual(['y']);
  expect(describeActions(actions).filter(each => /end/.test(each))).toEqual([]);
});

test('no group forms in an evacuated zone, and none of its hosts is ordered to load', () => {
  const actions = createPlan({
    backends: createSpares('x', 8, 'x'),
    desiredGroups,
    isEvacuated,
  });
  expect(describeActions(actions)).toEqual([]);
});

test('a group with its head in an evacuated zone and members elsewhere ends, so that these are of use', () => {
  const {groups, backends} = createOpenGroup(['x', 'y']);
  expect(describeActions(createPlan({groups, backends, isEvacuated}))).toEqual([
    'end-group low-1',
  ]);
});

test('a group with only a member in an evacuated zone goes on', () => {
  const {groups, backends} = createOpenGroup(['y', 'x']);
  expect(describeActions(createPlan({groups, backends, isEvacuated}))).toEqual(
    [],
  );
});

test('a group in an evacuated zone is not ended for another model that lacks hosts', () => {
  const names = ['low-1', 'low-2', 'low-3'];
  const input = {
    groups: names.map(name => createGroup([`${name}-0`, `${name}-1`], {name})),
    backends: names.flatMap(name =>
      [0, 1].map(rank =>
        createHost(`${name}-${rank}`, {
          zone: 'x',
          model: 'low',
          stagedModels: ['big'],
          group: {name, epoch: 7, rank, state: rank === 0 ? 'open' : 'ready'},
        }),
      ),
    ),
    desiredGroups: new Map([
      ['low', 0],
      ['big', 1],
    ]),
    recipientModel: 'big',
  };
  expect(describeActions(createPlan(input))).toContain('end-group low-1');
  expect(describeActions(createPlan({...input, isEvacuated}))).toEqual([]);
});

test('a group that lost a member ends in an evacuated zone as elsewhere', () => {
  const {groups, backends} = createOpenGroup();
  const actions = createPlan({
    groups,
    backends,
    isLost: incarnation => incarnation === 'm1',
    isEvacuated,
  });
  expect(describeActions(actions)).toEqual(['end-group low-1']);
});
