import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {GroupMoveLog} from '../../src/control/group_move_log';
import {IdleHostLog} from '../../src/control/idle_host_log';
import {ModelShortageLog} from '../../src/control/model_shortage_log';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {
  createGroup,
  createGroupReport,
  createHost,
  createHosts,
  createPlanInput,
} from '../support/engine_plan';

const holdsBig = {model: 'big', stagedModels: []};

function createLog(changes: Partial<EnginePlanInput>) {
  const events = EventRing.create();
  const log = IdleHostLog.create(events);
  const input = createPlanInput(changes);
  const record = (later: Partial<EnginePlanInput> = {}) => {
    log.record({...input, ...later});
    return events
      .listSince(0)
      .map(({type, id, reason}) => `${type} ${id}: ${reason}`);
  };
  return {record, input};
}

test('an idle host is logged once with its reason, and again when the reason changes', () => {
  const {record, input} = createLog({
    backends: [createHost('a')],
    desiredGroups: new Map(),
  });
  const first = ['host-idle a: it has no weights and loads none'];
  expect(record()).toEqual(first);
  expect(record({now: input.now + 1_000})).toEqual(first);
  expect(
    record({now: input.now + 2_000, findLoadingModel: () => 'big'}),
  ).toEqual([...first, 'host-idle a: it loads big']);
  expect(record({now: input.now + 3_000, backends: []}).at(-1)).toBe(
    'host-used a: it serves, or is gone',
  );
});

test('hosts with the weights of a model that lacks groups tell how many their domain has', () => {
  const {record} = createLog({
    backends: [...createHosts('d', 2, holdsBig), ...createHosts('e', 1)],
    desiredGroups: new Map([['big', 1]]),
  });
  expect(record()).toEqual([
    'host-idle d0: its domain has 2 of 4 hosts for big',
    'host-idle d1: its domain has 2 of 4 hosts for big',
    'host-idle e0: it has no weights and loads none',
  ]);
});

test('members that an unreachable head holds are idle, those of an open group are not', () => {
  const open = createGroup(['a', 'b']);
  const held = createGroup(['x', 'y'], {
    name: 'low-2',
    isEnding: true,
    isReleased: true,
  });
  const {record} = createLog({
    groups: [open, held],
    backends: [
      createHost('a', createGroupReport('open')),
      createHost('b', createGroupReport('ready', 1)),
      createHost('y'),
    ],
    isLost: incarnation => incarnation === 'x',
    desiredGroups: new Map(),
  });
  expect(record()).toEqual([
    'host-idle y: the unreachable head of low-2 may still use it',
  ]);
});

test('a model that lacks groups is logged when its groups change, and once more when it has them', () => {
  const events = EventRing.create();
  const log = ModelShortageLog.create(events);
  const desiredGroups = new Map([['low', 2]]);
  const one = createGroup(['a', 'b']);
  const two = createGroup(['c', 'd'], {name: 'low-2', epoch: 8});
  const record = (groups: EnginePlanInput['groups']) =>
    log.record(createPlanInput({groups, desiredGroups}));
  record([one]);
  record([one]);
  record([one, {...two, isEnding: true}]);
  record([one, two]);
  record([one, two]);
  expect(events.listSince(0)).toMatchObject([
    {type: 'model-short', id: 'low', details: {groups: 1, ending: 0}},
    {type: 'model-short', id: 'low', details: {groups: 1, held: 1}},
    {type: 'model-complete', id: 'low', details: {groups: 2}},
  ]);
});

test('a group that ended by choice is followed until its hosts are free', () => {
  const events = EventRing.create();
  const log = GroupMoveLog.create(events);
  const group = createGroup(['a', 'b']);
  const input = createPlanInput({groups: [group]});
  const end: EngineAction = {
    type: 'end-group',
    name: group.name,
    epoch: group.epoch,
    reason: 'test',
    isMove: true,
  };
  log.record([end], input);
  log.record([], {...input, now: input.now + 2_000});
  log.record([], {...input, now: input.now + 3_000, groups: []});
  expect(events.listSince(0)).toMatchObject([
    {type: 'move-finished', id: 'low-1', details: {tookMs: 3_000}},
  ]);
});
