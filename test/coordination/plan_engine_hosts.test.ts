import {describe, expect, test} from 'vitest';
import {
  describeActions,
  group,
  host,
  hosts,
  plan,
  told,
} from '../support/engine_plan';

describe('hosts without a group', () => {
  const desiredGroups = new Map([
    ['big', 2],
    ['low', 2],
  ]);

  test('load a model into memory before any group waits for it', () => {
    const actions = plan({backends: hosts('d', 4), desiredGroups});
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
    const backends = [host('a', {stagedModels: ['low']})];
    const [action] = plan({backends, desiredGroups});
    expect(action).toMatchObject({kind: 'join', model: 'low', isLoad: false});
  });

  test('form a slow cross-domain group rather than none', () => {
    const changes = {model: 'big', stagedModels: ['big']};
    const backends = [...hosts('a', 3, changes), ...hosts('b', 1, changes)];
    const low = group(['x', 'y']);
    const other = group(['v', 'w'], {name: 'low-2'});
    const groups = [low, other];
    const [action] = plan({
      backends,
      desiredGroups,
      groups,
      isInGracePeriod: true,
    });

    expect(action).toMatchObject({
      type: 'set-group',
      group: {model: 'big', domain: 'a+b'},
    });
  });

  test('stay spares while a model has half of its desired groups', () => {
    const changes = {model: 'big', stagedModels: ['low']};
    const domains = ['a', 'b', 'c', 'e'];
    const backends = domains.flatMap(domain => hosts(domain, 1, changes));
    const low = group(['x', 'y']);
    const other = group(['v', 'w'], {name: 'low-2'});
    const big = group(['p', 'q', 'r', 's'], {name: 'big-1', model: 'big'});
    const groups = [low, other, big];
    const actions = plan({
      backends,
      desiredGroups,
      groups,
      isInGracePeriod: true,
    });

    expect(describeActions(actions)).toEqual([]);
  });

  test('that serve a group which is no longer committed are ordered to leave', () => {
    const backends = [host('a', told('open'))];
    expect(describeActions(plan({backends}))).toEqual(['leave a']);
  });

  test('that serve such a group and are unreachable get no order', () => {
    const backends = [host('a', told('open'), 0)];
    expect(plan({backends})).toEqual([]);
  });
});

describe('an overloaded model', () => {
  test('gets one more group from spares, but not from the last spare', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const desiredGroups = new Map([['low', 1]]);
    const groups = [group(['x', 'y'])];
    const isSaturated = (model: string) => model === 'low';
    const formed = (count: number) =>
      plan({
        backends: hosts('d', count, held),
        groups,
        desiredGroups,
        isSaturated,
        isInGracePeriod: true,
      }).filter(action => action.type === 'set-group').length;

    expect(formed(3)).toBe(1);
    expect(formed(2)).toBe(0);
  });
});

describe('a model with fewer hosts for its share', () => {
  const held = {model: 'low', stagedModels: ['big']};
  const small = [1, 2, 3].map(number =>
    group([`m${number}`, `n${number}`], {
      name: `low-${number}`,
      domain: `d${number}`,
      epoch: number,
    }),
  );
  const members = small.flatMap(({members: own, domain, name, epoch}) =>
    own.map(({incarnation}, rank) => {
      const state = rank === 0 ? ('open' as const) : ('ready' as const);
      const membership = {name, epoch, rank, state};
      return host(incarnation, {...held, domain, group: membership});
    }),
  );
  const spares = [
    host('s', {...held, domain: 'd2'}),
    host('t', {...held, domain: 'd2'}),
  ];
  const input = {
    groups: small,
    backends: [...members, ...spares],
    desiredGroups: new Map([
      ['big', 1],
      ['low', 3],
    ]),
  };

  test('gets the hosts of another model if they and spares are enough', () => {
    const isSaturated = (model: string) => model === 'big';
    const actions = plan({...input, isSaturated});
    expect(describeActions(actions)).toContain('end-group low-2');
  });

  test('gets nothing while none of its requests are refused', () => {
    expect(describeActions(plan(input))).not.toContain('end-group low-2');
  });
});

describe('copies of weights on disk', () => {
  const desiredGroups = new Map([['low', 1]]);

  test('are kept by spares and by members, spares first', () => {
    const held = {model: 'low', stagedModels: ['low']};
    const members = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1)}),
    ];
    const actions = plan({
      groups: [group(['a', 'b'])],
      backends: [...members, host('s', held)],
      desiredGroups,
    });

    expect(describeActions(actions)).toEqual(['stage s', 'stage a', 'stage b']);
    expect(actions[0]).toMatchObject({model: 'big', isLoad: true});
  });

  test('do not evict the existing copy', () => {
    const backends = [host('a', {model: 'low', stagedModels: ['big']})];
    expect(plan({backends, desiredGroups: new Map()})).toEqual([]);
  });

  test('let a member of the small model repair the large one at once', () => {
    const survivors = ['a', 'b', 'c'].map(name =>
      host(name, {model: 'big', stagedModels: ['low']}),
    );
    const spare = host('s', {model: 'low', stagedModels: ['big']});
    const [action] = plan({
      backends: [...survivors, spare],
      desiredGroups: new Map([['big', 1]]),
    });

    expect(action).toMatchObject({type: 'set-group', group: {model: 'big'}});
  });
});

describe('a cross-domain group', () => {
  test('is ended when its hosts and free ones can form a single-domain group', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1), domain: 'e'}),
      host('c', {...held, domain: 'e'}),
    ];
    const groups = [group(['a', 'b'], {domain: 'd+e'})];
    const actions = plan({
      groups,
      backends,
      desiredGroups: new Map([['low', 1]]),
    });

    expect(describeActions(actions)).toContain('end-group low-1');
  });

  test('stays while it is the only group of an overloaded model', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1), domain: 'e'}),
      host('c', {...held, domain: 'e'}),
    ];
    const groups = [group(['a', 'b'], {domain: 'd+e'})];
    const desiredGroups = new Map([['low', 1]]);
    const isSaturated = () => true;
    const actions = plan({groups, backends, desiredGroups, isSaturated});

    expect(describeActions(actions)).not.toContain('end-group low-1');
  });

  test('is not replaced with another one while it ends', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1), domain: 'e'}),
      host('c', {...held, domain: 'f'}),
      host('s', {...held, domain: 'g'}),
    ];
    const groups = [group(['a', 'b'], {domain: 'd+e', isEnding: true})];
    const actions = plan({
      groups,
      backends,
      desiredGroups: new Map([['low', 3]]),
    });

    expect(describeActions(actions)).toEqual(['close a']);
  });
});
