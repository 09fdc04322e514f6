import {describe, expect, test} from 'vitest';
import {EngineGroup} from '../../src/protocol/engine_group';
import {BackendView} from '../../src/coordination/backend_view';
import {
  describeActions,
  group,
  host,
  hosts,
  plan,
} from '../support/engine_plan';

const holdsBig = {model: 'big', stagedModels: ['low']};
const holdsLow = {model: 'low', stagedModels: ['big']};

/** Whole, open groups of the small model in a domain, and their hosts. */
function createSmallGroups(
  domain: string,
  numbers: readonly number[],
): {groups: EngineGroup[]; views: BackendView[]} {
  const groups = numbers.map(number =>
    group([`m${number}`, `n${number}`], {
      name: `low-${number}`,
      domain,
      epoch: number,
    }),
  );
  const views = groups.flatMap(({members, name, epoch}) =>
    members.map(({incarnation}, rank) => {
      const state = rank === 0 ? ('open' as const) : ('ready' as const);
      const membership = {name, epoch, rank, state};
      return host(incarnation, {...holdsLow, domain, group: membership});
    }),
  );
  return {groups, views};
}

describe('hosts of a domain in which the needier model can soon form a group', () => {
  const {groups, views} = createSmallGroups('e', [1, 2]);
  const survivors = ['a', 'b', 'c'].map(name => host(name, holdsBig));
  const peaks = new Map([
    ['big', 2],
    ['low', 3],
  ]);

  test('are not taken by the other model', () => {
    const backends = [...views, ...survivors, host('new')];
    const actions = plan({groups, backends, peaks});

    expect(actions.filter(({type}) => type === 'set-group')).toEqual([]);
  });

  test('include an empty one, which loads the needier model', () => {
    const others = hosts('f', 3, holdsBig);
    const backends = [...views, ...survivors, ...others, host('new')];
    const [order] = plan({groups, backends, peaks}).filter(
      action => action.type === 'order',
    );

    expect(order).toMatchObject({
      kind: 'join',
      incarnation: 'new',
      model: 'big',
      isLoad: true,
    });
  });

  test('are used by the other model when too few are left for the needier', () => {
    const actions = plan({groups, backends: [...views, ...survivors], peaks});

    expect(describeActions(actions)).toContain('set-group low-3');
  });

  test('are used by the other model while that is needier', () => {
    const big = group(['p', 'q', 'r', 's'], {name: 'big-1', model: 'big'});
    const backends = [...views, ...survivors, host('new')];
    const actions = plan({
      groups: [groups[0], big, {...big, name: 'big-2', epoch: 9}],
      backends,
      peaks: new Map([
        ['big', 3],
        ['low', 3],
      ]),
      isStillListening: true,
    });

    expect(describeActions(actions)).toContain('set-group low-2');
  });
});

describe('empty hosts that no group waits for', () => {
  test('are shared out by what other empty hosts are loading already', () => {
    const loading = new Map([
      ['a', 'low'],
      ['b', 'low'],
    ]);
    const backends = hosts('d', 1).concat(host('a'), host('b', {domain: 'e'}));
    const actions = plan({
      backends,
      peaks: new Map([['low', 0]]),
      findLoading: incarnation => loading.get(incarnation),
    });

    expect(actions).toMatchObject([
      {kind: 'join', incarnation: 'd0', model: 'big'},
    ]);
  });

  test('are parked under an epoch that no engine has seen a higher one of', () => {
    const actions = plan({backends: [host('a')], epoch: 41});

    expect(actions).toMatchObject([{kind: 'join', group: {epoch: 41}}]);
  });
});

describe('a needier model of which requests are refused', () => {
  const isPressed = (model: string) => model === 'big';
  const {groups, views} = createSmallGroups('d', [1, 2]);
  const elsewhere = createSmallGroups('e', [3, 4]);
  const input = {
    groups: [...groups, ...elsewhere.groups],
    backends: [...views, ...elsewhere.views],
    peaks: new Map([
      ['big', 1],
      ['low', 4],
    ]),
    isPressed,
  };

  test('gets the hosts of two groups of one domain where one is too few', () => {
    const ended = plan(input).filter(({type}) => type === 'end-group');

    expect(describeActions(ended)).toEqual([
      'end-group low-1',
      'end-group low-2',
    ]);
  });

  test('gets them while a silent head holds the hosts of its own group', () => {
    const held = group(['x', 'y', 'z', 'w'], {
      name: 'big-1',
      model: 'big',
      domain: 'g',
      isEnding: true,
    });
    const ended = plan({
      ...input,
      groups: [...input.groups, held],
      isLost: incarnation => incarnation === 'x',
    }).filter(({type}) => type === 'end-group');

    expect(describeActions(ended)).toEqual([
      'end-group low-1',
      'end-group low-2',
    ]);
  });

  test('gets nothing while another group is being taken apart', () => {
    const leaving = createSmallGroups('f', [5]);
    const ending = {...leaving.groups[0], isEnding: true};
    const ended = plan({
      ...input,
      groups: [...input.groups, ending],
      backends: [...input.backends, ...leaving.views],
    }).filter(({type}) => type === 'end-group');

    expect(ended).toEqual([]);
  });

  test('gets nothing that would leave the other model needier', () => {
    const ended = plan({
      ...input,
      groups,
      backends: views,
      isPressed: () => true,
    }).filter(({type}) => type === 'end-group');

    expect(ended).toEqual([]);
  });
});
