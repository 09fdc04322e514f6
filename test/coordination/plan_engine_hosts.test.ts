import {describe, expect, test} from 'vitest';
import {
  describeActions,
  createGroup,
  createHost,
  createHosts,
  createPlan,
  createGroupReport,
} from '../support/engine_plan';

describe('hosts without a group', () => {
  const usual = new Map([
    ['big', 2],
    ['low', 2],
  ]);

  test('load a model into memory before any group waits for it', () => {
    const actions = createPlan({backends: createHosts('d', 4), usual});
    expect(describeActions(actions)).toEqual([
      'join d0',
      'join d1',
      'join d2',
      'join d3',
    ]);
    expect(actions[0]).toMatchObject({
      isLoad: true,
      group: {name: 'parked-d0', members: [{incarnation: 'd0'}]},
    });
  });

  test('take the model on their own disk without a load from the store', () => {
    const backends = [createHost('a', {stagedModels: ['low']})];
    const [action] = createPlan({backends, usual});
    expect(action).toMatchObject({kind: 'join', model: 'low', isLoad: false});
  });

  test('form a slow cross-domain group rather than none', () => {
    const changes = {model: 'big', stagedModels: ['big']};
    const backends = [
      ...createHosts('a', 3, changes),
      ...createHosts('b', 1, changes),
    ];
    const low = createGroup(['x', 'y']);
    const other = createGroup(['v', 'w'], {name: 'low-2'});
    const groups = [low, other];
    const [action] = createPlan({
      backends,
      usual,
      groups,
      isStillListening: true,
    });

    expect(action).toMatchObject({
      type: 'set-group',
      group: {model: 'big', domain: 'a+b'},
    });
  });

  test('stay spares while a model has half of its desired groups', () => {
    const changes = {model: 'big', stagedModels: ['low']};
    const domains = ['a', 'b', 'c', 'e'];
    const backends = domains.flatMap(domain => createHosts(domain, 1, changes));
    const low = createGroup(['x', 'y']);
    const other = createGroup(['v', 'w'], {name: 'low-2'});
    const big = createGroup(['p', 'q', 'r', 's'], {
      name: 'big-1',
      model: 'big',
    });
    const groups = [low, other, big];
    const actions = createPlan({
      backends,
      usual,
      groups,
      isStillListening: true,
    });

    expect(describeActions(actions)).toEqual([]);
  });

  test('that serve a group which is no longer committed are ordered to leave', () => {
    const backends = [createHost('a', createGroupReport('open'))];
    expect(describeActions(createPlan({backends}))).toEqual(['leave a']);
  });

  test('that serve such a group and are unreachable get no order', () => {
    const backends = [createHost('a', createGroupReport('open'), 0)];
    expect(createPlan({backends})).toEqual([]);
  });
});

describe('an overloaded model', () => {
  test('gets one more group from spares, but not from the last spare', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const usual = new Map([['low', 1]]);
    const groups = [createGroup(['x', 'y'])];
    const isPressed = (model: string) => model === 'low';
    const formed = (count: number) =>
      createPlan({
        backends: createHosts('d', count, held),
        groups,
        usual,
        isPressed,
        isStillListening: true,
      }).filter(action => action.type === 'set-group').length;

    expect(formed(3)).toBe(1);
    expect(formed(2)).toBe(0);
  });
});

describe('a model with fewer hosts for its share', () => {
  const held = {model: 'low', stagedModels: ['big']};
  const small = [1, 2, 3].map(number =>
    createGroup([`m${number}`, `n${number}`], {
      name: `low-${number}`,
      domain: `d${number}`,
      epoch: number,
    }),
  );
  const members = small.flatMap(({members: own, domain, name, epoch}) =>
    own.map(({incarnation}, rank) => {
      const state = rank === 0 ? ('open' as const) : ('ready' as const);
      const membership = {name, epoch, rank, state};
      return createHost(incarnation, {...held, domain, group: membership});
    }),
  );
  const spares = [
    createHost('s', {...held, domain: 'd2'}),
    createHost('t', {...held, domain: 'd2'}),
  ];
  const input = {
    groups: small,
    backends: [...members, ...spares],
    usual: new Map([
      ['big', 1],
      ['low', 3],
    ]),
  };

  test('gets the hosts of another model if they and spares are enough', () => {
    const isPressed = (model: string) => model === 'big';
    const actions = createPlan({...input, isPressed});
    expect(describeActions(actions)).toContain('end-group low-2');
  });

  test('gets nothing while none of its requests are refused', () => {
    expect(describeActions(createPlan(input))).not.toContain('end-group low-2');
  });
});

describe('copies of weights on disk', () => {
  const usual = new Map([['low', 1]]);

  test('are kept by spares and by members, spares first', () => {
    const held = {model: 'low', stagedModels: ['low']};
    const members = [
      createHost('a', {...held, ...createGroupReport('open')}),
      createHost('b', {...held, ...createGroupReport('ready', 1)}),
    ];
    const actions = createPlan({
      groups: [createGroup(['a', 'b'])],
      backends: [...members, createHost('s', held)],
      usual,
    });

    expect(describeActions(actions)).toEqual(['stage s', 'stage a', 'stage b']);
    expect(actions[0]).toMatchObject({model: 'big', isLoad: true});
  });

  test('do not evict the existing copy', () => {
    const backends = [createHost('a', {model: 'low', stagedModels: ['big']})];
    expect(createPlan({backends, usual: new Map()})).toEqual([]);
  });

  test('let a member of the small model repair the large one at once', () => {
    const survivors = ['a', 'b', 'c'].map(name =>
      createHost(name, {model: 'big', stagedModels: ['low']}),
    );
    const spare = createHost('s', {model: 'low', stagedModels: ['big']});
    const [action] = createPlan({
      backends: [...survivors, spare],
      usual: new Map([['big', 1]]),
    });

    expect(action).toMatchObject({type: 'set-group', group: {model: 'big'}});
  });
});

describe('a cross-domain group', () => {
  test('is ended when its hosts and free ones can form a single-domain group', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      createHost('a', {...held, ...createGroupReport('open')}),
      createHost('b', {...held, ...createGroupReport('ready', 1), domain: 'e'}),
      createHost('c', {...held, domain: 'e'}),
    ];
    const groups = [createGroup(['a', 'b'], {domain: 'd+e'})];
    const actions = createPlan({
      groups,
      backends,
      usual: new Map([['low', 1]]),
    });

    expect(describeActions(actions)).toContain('end-group low-1');
  });

  test('stays while it is the only group of an overloaded model', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      createHost('a', {...held, ...createGroupReport('open')}),
      createHost('b', {...held, ...createGroupReport('ready', 1), domain: 'e'}),
      createHost('c', {...held, domain: 'e'}),
    ];
    const groups = [createGroup(['a', 'b'], {domain: 'd+e'})];
    const usual = new Map([['low', 1]]);
    const isPressed = () => true;
    const actions = createPlan({groups, backends, usual, isPressed});

    expect(describeActions(actions)).not.toContain('end-group low-1');
  });

  test('is not replaced with another one while it ends', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      createHost('a', {...held, ...createGroupReport('open')}),
      createHost('b', {...held, ...createGroupReport('ready', 1), domain: 'e'}),
      createHost('c', {...held, domain: 'f'}),
      createHost('s', {...held, domain: 'g'}),
    ];
    const groups = [createGroup(['a', 'b'], {domain: 'd+e', isEnding: true})];
    const actions = createPlan({
      groups,
      backends,
      usual: new Map([['low', 3]]),
    });

    expect(describeActions(actions)).toEqual(['close a']);
  });
});
