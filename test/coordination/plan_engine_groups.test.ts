import {describe, expect, test} from 'vitest';
import {BackendView} from '../../src/coordination/backend_view';
import {EngineAction} from '../../src/coordination/engine_action';
import {EnginePlanInput} from '../../src/coordination/engine_plan_input';
import {planEngineGroups} from '../../src/coordination/plan_engine_groups';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {EngineGroup} from '../../src/protocol/engine_group';
import {EngineProfile} from '../../src/protocol/engine_profile';

const NOW = 100_000;
type Told = NonNullable<BackendRegistration['group']>;

/** A large model on four hosts and a small one on two. */
const PROFILE: EngineProfile = {
  models: [
    {name: 'big', size: 4, pace: 1, share: 0.67, loadMs: 16_000, warmMs: 1_600},
    {name: 'low', size: 2, pace: 1, share: 0.33, loadMs: 12_000, warmMs: 1_100},
  ],
  slots: 34,
  contextTokens: 1_000_000,
  stepMs: 6,
  stepMsPerRequest: 0.3,
  promptTokensPerSecond: 46_000,
  promptChunkTokens: 2_048,
  stepsPerEvent: 3,
  loadsPerSecond: 3,
  concurrentLoads: 6,
  keptModels: 1,
  openMs: 300,
};

function host(
  incarnation: string,
  changes: Partial<BackendRegistration> = {},
  seenAt = NOW,
): BackendView {
  const registration = {
    incarnation,
    pool: 'p',
    address: `${incarnation}:1`,
    zone: 'z',
    isLeaving: false,
    sequence: 1,
    slots: 34,
    domain: 'd',
    stagedModels: [],
    ...changes,
  };
  const {model: heldModel} = registration as BackendRegistration;
  return {registration, seenAt, firstSeenAt: 0, heldModel};
}

function hosts(
  domain: string,
  count: number,
  changes: Partial<BackendRegistration> = {},
): BackendView[] {
  return Array.from({length: count}, (_, at) =>
    host(`${domain}${at}`, {domain, ...changes}),
  );
}

function group(
  members: string[],
  changes: Partial<EngineGroup> = {},
): EngineGroup {
  return {
    name: 'low-1',
    epoch: 7,
    pool: 'p',
    model: 'low',
    domain: 'd',
    members: members.map(incarnation => ({
      incarnation,
      address: `${incarnation}:1`,
    })),
    isEnding: false,
    isReleased: false,
    ...changes,
  };
}

function told(state: Told['state'], rank = 0, epoch = 7): {group: Told} {
  return {group: {name: 'low-1', epoch, rank, state}};
}

function plan(changes: Partial<EnginePlanInput>): EngineAction[] {
  return planEngineGroups({
    pool: 'p',
    profile: PROFILE,
    groups: [],
    backends: [],
    peaks: new Map([['low', 0]]),
    now: NOW,
    silentAfterMs: 3_600,
    isStillListening: false,
    mayRebalance: true,
    isPressed: () => false,
    isRetired: () => false,
    isLost: () => false,
    isLetGo: () => false,
    hasLeaver: () => false,
    ...changes,
  });
}

/** Orders as `kind incarnation`, changes of groups as `type name`. */
function describeActions(actions: readonly EngineAction[]): string[] {
  return actions.map(action => {
    if (action.type === 'order') {
      return `${action.kind} ${action.incarnation}`;
    }
    const {name} = action.type === 'set-group' ? action.group : action;
    return `${action.type} ${name}`;
  });
}

describe('the first start', () => {
  test('fills each domain with groups of both models and keeps spares', () => {
    const backends = ['a', 'b', 'c'].flatMap(domain => hosts(domain, 8));
    const actions = plan({backends, peaks: new Map()});
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

describe('a group that is formed', () => {
  test('tells every member to join, and opens only when all are ready', () => {
    const groups = [group(['a', 'b'])];
    const joining = plan({groups, backends: [host('a'), host('b')]});
    expect(describeActions(joining)).toEqual(['join a', 'join b']);

    const half = [host('a', told('ready')), host('b', told('joining', 1))];
    expect(describeActions(plan({groups, backends: half}))).toEqual([]);

    const whole = [host('a', told('ready')), host('b', told('ready', 1))];
    expect(describeActions(plan({groups, backends: whole}))).toEqual([
      'open a',
    ]);
  });

  test('does not count a member that is ready for an older epoch', () => {
    const backends = [host('a', told('ready')), host('b', told('ready', 1, 6))];
    const actions = plan({groups: [group(['a', 'b'])], backends});

    expect(describeActions(actions)).toEqual(['join b']);
  });
});

describe('a group that lost a member', () => {
  const backends = [host('a', told('open')), host('b', told('ready', 1))];
  const isLost = (incarnation: string) => incarnation === 'b';

  test('is ended for good before anything else', () => {
    const actions = plan({groups: [group(['a', 'b'])], backends, isLost});
    expect(describeActions(actions)).toEqual(['end-group low-1']);
  });

  test('is not used again while its head still counts on it', () => {
    const groups = [group(['a', 'b'], {isEnding: true})];
    const actions = plan({groups, backends, isLost});
    expect(describeActions(actions)).toEqual(['leave a']);
  });

  test('is removed once its head has let go', () => {
    const groups = [group(['a', 'b'], {isEnding: true})];
    const after = [host('a'), host('b', told('ready', 1))];
    const actions = plan({groups, backends: after, isLost});
    expect(describeActions(actions)).toEqual(['remove-group low-1']);
  });

  test('is rebuilt from hosts that hold the weights before any load', () => {
    const survivors = ['a', 'b', 'c'].map(name =>
      host(name, {model: 'big', stagedModels: ['big']}),
    );
    const spare = host('s', {stagedModels: ['big']});
    const fresh = hosts('f', 4, {domain: 'd'});
    const [action] = plan({
      backends: [...survivors, spare, ...fresh],
      peaks: new Map([
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

describe('a head that is silent', () => {
  const groups = [group(['a', 'b'], {isEnding: true})];
  const backends = [host('a', told('open')), host('b', told('ready', 1))];
  const isLost = (incarnation: string) => incarnation === 'a';

  test('is made to break by a member that leaves', () => {
    const actions = plan({groups, backends, isLost});
    expect(describeActions(actions)).toEqual(['leave b']);
  });

  test('holds its members until the time is over, however long it was silent', () => {
    const left = [host('a', told('open'), 0), host('b')];
    const waiting = plan({
      groups,
      backends: left,
      isLost,
      hasLeaver: () => true,
    });
    expect(describeActions(waiting)).toEqual(['release-group low-1']);

    const released = [group(['a', 'b'], {isEnding: true, isReleased: true})];
    const still = plan({groups: released, backends: left, isLost});
    expect(describeActions(still)).toEqual([]);

    const over = plan({
      groups: released,
      backends: left,
      isLost,
      isLetGo: () => true,
    });
    expect(describeActions(over)).toEqual(['remove-group low-1']);
  });

  test('that a new leader never heard is not taken for dead', () => {
    const known = [host('b', told('ready', 1))];
    const actions = plan({
      groups: [group(['a', 'b'])],
      backends: known,
      isStillListening: true,
    });
    expect(describeActions(actions)).toEqual([]);
  });
});

describe('a member that leaves by plan', () => {
  const isRetired = (incarnation: string) => incarnation === 'b';

  test('stays until the group has finished its work', () => {
    const groups = [group(['a', 'b'], {isEnding: true})];
    const at = (state: Told['state']) => [
      host('a', told(state)),
      host('b', told('ready', 1)),
    ];
    const describeAt = (state: Told['state']) =>
      describeActions(plan({groups, backends: at(state), isRetired}));

    expect(describeAt('open')).toEqual(['close a']);
    expect(describeAt('closing')).toEqual([]);
    expect(describeAt('ready')).toEqual(['leave a']);
  });

  test('joins no other group', () => {
    const backends = [host('a'), host('b')];
    const peaks = new Map([['low', 1]]);
    // The other host parks; nothing is planned for the one that leaves.
    const actions = plan({backends, isRetired, peaks});
    expect(describeActions(actions)).toEqual(['join a']);
    expect(actions[0]).toMatchObject({group: {name: 'parked-a'}});
  });
});

describe('hosts without a place', () => {
  const peaks = new Map([
    ['big', 2],
    ['low', 2],
  ]);

  test('take a model into memory before any group waits for it', () => {
    const actions = plan({backends: hosts('d', 4), peaks});
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

  test('take the model that lies on their own disk without a load', () => {
    const backends = [host('a', {stagedModels: ['low']})];
    const [action] = plan({backends, peaks});
    expect(action).toMatchObject({kind: 'join', model: 'low', isLoad: false});
  });

  test('form a slow group over two domains rather than none', () => {
    const changes = {model: 'big', stagedModels: ['big']};
    const backends = [...hosts('a', 3, changes), ...hosts('b', 1, changes)];
    const low = group(['x', 'y']);
    const other = group(['v', 'w'], {name: 'low-2'});
    const groups = [low, other];
    const [action] = plan({backends, peaks, groups, isStillListening: true});

    expect(action).toMatchObject({
      type: 'set-group',
      group: {model: 'big', domain: 'a+b'},
    });
  });

  test('stay spares while half of the usual groups of a model stand', () => {
    const changes = {model: 'big', stagedModels: ['low']};
    const domains = ['a', 'b', 'c', 'e'];
    const backends = domains.flatMap(domain => hosts(domain, 1, changes));
    const low = group(['x', 'y']);
    const other = group(['v', 'w'], {name: 'low-2'});
    const big = group(['p', 'q', 'r', 's'], {name: 'big-1', model: 'big'});
    const groups = [low, other, big];
    const actions = plan({backends, peaks, groups, isStillListening: true});

    expect(describeActions(actions)).toEqual([]);
  });

  test('that serve a group which control has given up are told to leave', () => {
    const backends = [host('a', told('open'))];
    expect(describeActions(plan({backends}))).toEqual(['leave a']);
  });

  test('that serve such a group and are silent are left alone', () => {
    const backends = [host('a', told('open'), 0)];
    expect(plan({backends})).toEqual([]);
  });
});

describe('a model of which requests are refused', () => {
  test('gets one more group from spares, and leaves one of them', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const peaks = new Map([['low', 1]]);
    const groups = [group(['x', 'y'])];
    const isPressed = (model: string) => model === 'low';
    const formed = (count: number) =>
      plan({
        backends: hosts('d', count, held),
        groups,
        peaks,
        isPressed,
        isStillListening: true,
      }).filter(action => action.type === 'set-group').length;

    expect(formed(3)).toBe(1);
    expect(formed(2)).toBe(0);
  });
});

describe('a model that has fewer hosts for its share', () => {
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
    peaks: new Map([
      ['big', 1],
      ['low', 3],
    ]),
  };

  test('gets the hosts of another where they and spares are enough', () => {
    const isPressed = (model: string) => model === 'big';
    const actions = plan({...input, isPressed});
    expect(describeActions(actions)).toContain('end-group low-2');
  });

  test('takes nothing while none of its requests are refused', () => {
    expect(describeActions(plan(input))).not.toContain('end-group low-2');
  });
});

describe('second copies of weights', () => {
  const peaks = new Map([['low', 1]]);

  test('are kept by spares and by members, spares first', () => {
    const held = {model: 'low', stagedModels: ['low']};
    const members = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1)}),
    ];
    const actions = plan({
      groups: [group(['a', 'b'])],
      backends: [...members, host('s', held)],
      peaks,
    });

    expect(describeActions(actions)).toEqual(['stage s', 'stage a', 'stage b']);
    expect(actions[0]).toMatchObject({model: 'big', isLoad: true});
  });

  test('do not push out the copy that is at hand', () => {
    const backends = [host('a', {model: 'low', stagedModels: ['big']})];
    expect(plan({backends, peaks: new Map()})).toEqual([]);
  });

  test('let a member of the small model repair the large one at once', () => {
    const survivors = ['a', 'b', 'c'].map(name =>
      host(name, {model: 'big', stagedModels: ['low']}),
    );
    const spare = host('s', {model: 'low', stagedModels: ['big']});
    const [action] = plan({
      backends: [...survivors, spare],
      peaks: new Map([['big', 1]]),
    });

    expect(action).toMatchObject({type: 'set-group', group: {model: 'big'}});
  });
});

describe('a group over two domains', () => {
  test('gives way when its hosts and free ones fit into one', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1), domain: 'e'}),
      host('c', {...held, domain: 'e'}),
    ];
    const groups = [group(['a', 'b'], {domain: 'd+e'})];
    const actions = plan({groups, backends, peaks: new Map([['low', 1]])});

    expect(describeActions(actions)).toContain('end-group low-1');
  });

  test('is not replaced by another while it gives way', () => {
    const held = {model: 'low', stagedModels: ['big']};
    const backends = [
      host('a', {...held, ...told('open')}),
      host('b', {...held, ...told('ready', 1), domain: 'e'}),
      host('c', {...held, domain: 'f'}),
      host('s', {...held, domain: 'g'}),
    ];
    const groups = [group(['a', 'b'], {domain: 'd+e', isEnding: true})];
    const actions = plan({groups, backends, peaks: new Map([['low', 3]])});

    expect(describeActions(actions)).toEqual(['close a']);
  });
});

describe('a group that ends', () => {
  const held = {model: 'low', stagedModels: ['big']};
  const spares = [host('s', held), host('t', held)];
  const members = [host('a', told('open')), host('b', told('ready', 1))];
  const groups = [group(['a', 'b'], {isEnding: true})];
  const peaks = new Map([['low', 1]]);
  const backends = [...members, ...spares];

  test('is formed anew from its own hosts, not from the spares of others', () => {
    const isLost = (incarnation: string) => incarnation === 'b';
    const actions = plan({groups, backends, peaks, isLost});
    expect(describeActions(actions)).toEqual(['leave a']);
  });

  test('is replaced by spares while a silent head holds its hosts', () => {
    const isLost = (incarnation: string) => incarnation === 'a';
    const actions = plan({groups, backends, peaks, isLost});
    expect(describeActions(actions)).toContain('set-group low-2');
  });
});
