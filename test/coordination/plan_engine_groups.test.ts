import {describe, expect, test} from 'vitest';
import {
  GroupReport,
  describeActions,
  createGroup,
  createHost,
  createHosts,
  createPlan,
  createGroupReport,
} from '../support/engine_plan';

describe('a cold start', () => {
  test('fills each domain with groups of both models and keeps spares', () => {
    const backends = ['a', 'b', 'c'].flatMap(domain => createHosts(domain, 8));
    const actions = createPlan({
      backends,
      usual: new Map(),
      isFirstStart: true,
    });
    const groups = actions.flatMap(action =>
      action.type === 'set-group' ? [action.group] : [],
    );

    for (const domain of ['a', 'b', 'c']) {
      const models = groups
        .filter(known => known.domain === domain)
        .map(known => known.model)
        .sort();
      expect(models).toEqual(['big', 'low']);
    }
    const used = groups.flatMap(known => known.members);
    expect(new Set(used.map(member => member.incarnation)).size).toBe(18);
  });
});

describe('a forming group', () => {
  test('orders every member to join, and opens only when all are ready', () => {
    const groups = [createGroup(['a', 'b'])];
    const joining = createPlan({
      groups,
      backends: [createHost('a'), createHost('b')],
    });
    expect(describeActions(joining)).toEqual(['join a', 'join b']);

    const half = [
      createHost('a', createGroupReport('ready')),
      createHost('b', createGroupReport('joining', 1)),
    ];
    expect(describeActions(createPlan({groups, backends: half}))).toEqual([]);

    const whole = [
      createHost('a', createGroupReport('ready')),
      createHost('b', createGroupReport('ready', 1)),
    ];
    expect(describeActions(createPlan({groups, backends: whole}))).toEqual([
      'open a',
    ]);
  });

  test('does not count a member that is ready for an older epoch', () => {
    const backends = [
      createHost('a', createGroupReport('ready')),
      createHost('b', createGroupReport('ready', 1, 6)),
    ];
    const actions = createPlan({groups: [createGroup(['a', 'b'])], backends});

    expect(describeActions(actions)).toEqual(['join b']);
  });
});

describe('a group that lost a member', () => {
  const backends = [
    createHost('a', createGroupReport('open')),
    createHost('b', createGroupReport('ready', 1)),
  ];
  const isLost = (incarnation: string) => incarnation === 'b';

  test('is ended before anything else', () => {
    const actions = createPlan({
      groups: [createGroup(['a', 'b'])],
      backends,
      isLost,
    });
    expect(describeActions(actions)).toEqual(['end-group low-1']);
  });

  test('is not reused while its head still holds it', () => {
    const groups = [createGroup(['a', 'b'], {isEnding: true})];
    const actions = createPlan({groups, backends, isLost});
    expect(describeActions(actions)).toEqual(['leave a']);
  });

  test('is removed once its head has released it', () => {
    const groups = [createGroup(['a', 'b'], {isEnding: true})];
    const after = [
      createHost('a'),
      createHost('b', createGroupReport('ready', 1)),
    ];
    const actions = createPlan({groups, backends: after, isLost});
    expect(describeActions(actions)).toEqual(['remove-group low-1']);
  });

  test('is rebuilt from hosts that hold the weights before any load', () => {
    const survivors = ['a', 'b', 'c'].map(name =>
      createHost(name, {model: 'big', stagedModels: ['big']}),
    );
    const spare = createHost('s', {stagedModels: ['big']});
    const fresh = createHosts('f', 4, {domain: 'd'});
    const [action] = createPlan({
      backends: [...survivors, spare, ...fresh],
      usual: new Map([
        ['big', 1],
        ['low', 1],
      ]),
    });

    expect(action).toMatchObject({
      type: 'set-group',
      group: {
        model: 'big',
        members: ['a', 'b', 'c', 's'].map(incarnation => ({incarnation})),
      },
    });
  });
});

describe('an unreachable head', () => {
  const groups = [createGroup(['a', 'b'], {isEnding: true})];
  const backends = [
    createHost('a', createGroupReport('open')),
    createHost('b', createGroupReport('ready', 1)),
  ];
  const isLost = (incarnation: string) => incarnation === 'a';

  test('breaks its group after a member is ordered to leave', () => {
    const actions = createPlan({groups, backends, isLost});
    expect(describeActions(actions)).toEqual(['leave b']);
  });

  test('holds its members until it is fenced, however long it was unreachable', () => {
    const left = [
      createHost('a', createGroupReport('open'), 0),
      createHost('b'),
    ];
    const waiting = createPlan({
      groups,
      backends: left,
      isLost,
      hasLeaver: () => true,
    });
    expect(describeActions(waiting)).toEqual(['release-group low-1']);

    const released = [
      createGroup(['a', 'b'], {isEnding: true, isReleased: true}),
    ];
    const still = createPlan({groups: released, backends: left, isLost});
    expect(describeActions(still)).toEqual([]);

    const over = createPlan({
      groups: released,
      backends: left,
      isLost,
      isLetGo: () => true,
    });
    expect(describeActions(over)).toEqual(['remove-group low-1']);
  });

  test('is not taken for dead by a new leader that never heard it', () => {
    const known = [createHost('b', createGroupReport('ready', 1))];
    const actions = createPlan({
      groups: [createGroup(['a', 'b'])],
      backends: known,
      isStillListening: true,
    });
    expect(describeActions(actions)).toEqual([]);
  });
});

describe('a member that is retired', () => {
  const isRetired = (incarnation: string) => incarnation === 'b';

  test('stays until the group has finished its requests', () => {
    const groups = [createGroup(['a', 'b'], {isEnding: true})];
    const at = (state: GroupReport['state']) => [
      createHost('a', createGroupReport(state)),
      createHost('b', createGroupReport('ready', 1)),
    ];
    const describeAt = (state: GroupReport['state']) =>
      describeActions(createPlan({groups, backends: at(state), isRetired}));

    expect(describeAt('open')).toEqual(['close a']);
    expect(describeAt('closing')).toEqual([]);
    expect(describeAt('ready')).toEqual(['leave a']);
  });

  test('joins no other group', () => {
    const backends = [createHost('a'), createHost('b')];
    const usual = new Map([['low', 1]]);
    // The other host preloads a model; nothing is planned for the retired one.
    const actions = createPlan({backends, isRetired, usual});
    expect(describeActions(actions)).toEqual(['join a']);
    expect(actions[0]).toMatchObject({group: {name: 'parked-a'}});
  });
});

describe('an ending group', () => {
  const held = {model: 'low', stagedModels: ['big']};
  const spares = [createHost('s', held), createHost('t', held)];
  const members = [
    createHost('a', createGroupReport('open')),
    createHost('b', createGroupReport('ready', 1)),
  ];
  const groups = [createGroup(['a', 'b'], {isEnding: true})];
  const usual = new Map([['low', 1]]);
  const backends = [...members, ...spares];

  test('is formed again from its own hosts, not from the spares of others', () => {
    const isLost = (incarnation: string) => incarnation === 'b';
    const actions = createPlan({groups, backends, usual, isLost});
    expect(describeActions(actions)).toEqual(['leave a']);
  });

  test('is replaced with spares while an unreachable head holds its hosts', () => {
    const isLost = (incarnation: string) => incarnation === 'a';
    const actions = createPlan({groups, backends, usual, isLost});
    expect(describeActions(actions)).toContain('set-group low-2');
  });
});
