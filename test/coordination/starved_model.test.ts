import {describe, expect, test} from 'vitest';
import {BackendView} from '../../src/coordination/groups/backend_view';
import {DemandForecast} from '../../src/coordination/groups/demand_forecast';
import {EngineGroup} from '../../src/protocol/engine_group';
import {
  createGroup,
  createHost,
  createHosts,
  createPlan,
  createSizedProfile,
  describeActions,
} from '../support/engine_plan';

const sized = createSizedProfile(6, 3);
const [big, low] = sized.models;
const profile = {...sized, models: [big, {...low, pace: 0.6}]};
const desiredGroups = new Map([
  ['big', 3],
  ['low', 3],
]);

/** Creates an open group and its hosts. */
function createOpen(
  model: 'big' | 'low',
  domain: string,
  number = 1,
): {group: EngineGroup; views: BackendView[]} {
  const name = `${model}-${domain}${number}`;
  const size = model === 'big' ? 6 : 3;
  const views = Array.from({length: size}, (_, rank) =>
    createHost(`${name}-${rank}`, {
      domain,
      model,
      stagedModels: [model],
      group: {name, epoch: 7, rank, state: rank === 0 ? 'open' : 'ready'},
    }),
  );
  const members = views.map(({registration}) => registration.incarnation);
  return {group: createGroup(members, {name, model, domain}), views};
}

function listFormed(actions: ReturnType<typeof createPlan>): string[] {
  return describeActions(actions).filter(text => text.startsWith('set-group'));
}

// Guards against a fourth group of one model formed of hosts that hold the weights of
// another, which has no group and waits for one more host.
describe('hosts with the weights of a model that lacks groups', () => {
  const lows = ['d', 'e', 'f'].map(domain => createOpen('low', domain));
  const both = {model: 'big', stagedModels: ['low']};

  test('are not formed into a further group of a model that has all of its own', () => {
    const held = createGroup(['h0', 'h1', 'h2', 'h3', 'h4', 'h5'], {
      name: 'big-1',
      model: 'big',
      isEnding: true,
      isReleased: true,
    });
    const members = ['h1', 'h2', 'h3', 'h4', 'h5'].map(name =>
      createHost(name, both),
    );
    const actions = createPlan({
      profile,
      desiredGroups,
      groups: [...lows.map(({group}) => group), held],
      backends: [
        ...lows.flatMap(({views}) => views),
        ...members,
        createHost('loading'),
        ...createHosts('f', 5, {...both, domain: 'f'}),
      ],
      findLoadingModel: name => (name === 'loading' ? 'big' : undefined),
      isLost: name => name === 'h0',
    });
    expect(listFormed(actions)).toEqual([]);
  });

  test('are kept by a new leader that has heard only some hosts of their domain', () => {
    const bigs = ['d', 'e'].map(domain => createOpen('big', domain));
    const open = [...lows, ...bigs];
    const actions = createPlan({
      profile,
      desiredGroups,
      groups: open.map(({group}) => group),
      backends: [
        ...open.flatMap(({views}) => views),
        ...createHosts('f', 3, {...both, domain: 'f'}),
        createHost('spare', {
          domain: 'f',
          model: 'low',
          stagedModels: ['big'],
        }),
      ],
      isInGracePeriod: true,
      isSaturated: () => true,
    });
    expect(listFormed(actions)).toEqual([]);
  });
});

/** One group of the large model is nearly two thirds of what is needed, two of the small one are just enough. */
const forecast = DemandForecast.create({
  profile,
  demand: {
    big: {
      requestsPerSecond: 26,
      promptTokensPerSecond: 36_000,
      answerTokensPerSecond: 2_000,
    },
    low: {
      requestsPerSecond: 50,
      promptTokensPerSecond: 30_000,
      answerTokensPerSecond: 5_500,
    },
  },
});

function listEnded(actions: ReturnType<typeof createPlan>): string[] {
  return describeActions(actions).filter(text => text.startsWith('end-group'));
}

// Guards against a group that was ended for a third one of the other model: the model that
// gave it refused a quarter of its requests until the hosts were free.
describe('a model whose groups are just enough', () => {
  const lows = [1, 2, 3].map(number => createOpen('low', 'd', number));
  const bigs = ['e', 'f'].map(domain => createOpen('big', domain));
  const open = [...lows, ...bigs];
  const both = open.flatMap(({views}) =>
    views.map(view => ({
      ...view,
      registration: {...view.registration, stagedModels: ['big', 'low']},
    })),
  );
  const input = {
    profile,
    desiredGroups,
    forecast,
    backends: [...both, ...createHosts('d', 3, {model: 'big', domain: 'd'})],
    isSaturated: (model: string) => model === 'big',
    isInGracePeriod: true,
    estimateLifetimeMs: () => 15_000,
  };

  test('gives none to a model that gains less than it loses', () => {
    const groups = open.map(({group}) => group);
    expect(listEnded(createPlan({...input, groups}))).toEqual([]);
  });

  test('gives one to a model without any', () => {
    const groups = lows.map(({group}) => group);
    expect(listEnded(createPlan({...input, groups}))).toHaveLength(1);
  });
});

// Guards against a slow group that stayed the only one of its model for ten seconds though six
// hosts of one domain could form a full one.
describe('a group over several domains', () => {
  const members = ['x0', 'x1', 'x2', 'x3', 'x4', 'y0'];
  const group = createGroup(members, {
    name: 'big-1',
    model: 'big',
    domain: 'x+y',
  });
  const backends = [
    ...members.map((incarnation, rank) =>
      createHost(incarnation, {
        domain: incarnation[0],
        model: 'big',
        group: {
          name: 'big-1',
          epoch: 7,
          rank,
          state: rank === 0 ? 'open' : 'ready',
        },
      }),
    ),
    createHost('x5', {domain: 'x', model: 'big'}),
  ];
  const input = {
    profile,
    desiredGroups: new Map([['big', 3]]),
    forecast,
    groups: [group],
    backends,
    isSaturated: () => true,
  };

  test('ends for a full one that lasts longer than the end costs', () => {
    const estimateLifetimeMs = () => 15_000;
    expect(listEnded(createPlan({...input, estimateLifetimeMs}))).toEqual([
      'end-group big-1',
    ]);
  });

  test('stays where a full one is not expected to last', () => {
    const estimateLifetimeMs = () => 2_000;
    expect(listEnded(createPlan({...input, estimateLifetimeMs}))).toEqual([]);
  });
});

// Guards against a small group formed of three members of a large group that had just lost one:
// both models lacked a group, and the hosts of the small one were to return within seconds.
test('hosts that complete a large group are not split while the small model waits for its own', () => {
  const lows = ['e', 'f'].map(domain => createOpen('low', domain));
  const bigs = ['e', 'f'].map(domain => createOpen('big', domain));
  const held = createGroup(['h0', 'h1', 'h2'], {
    name: 'low-1',
    domain: 'g',
    isEnding: true,
    isReleased: true,
  });
  const open = [...lows, ...bigs];
  const actions = createPlan({
    profile,
    desiredGroups,
    forecast,
    groups: [...open.map(({group}) => group), held],
    backends: [
      ...open.flatMap(({views}) => views),
      ...createHosts('d', 7, {model: 'big', stagedModels: ['low']}),
    ],
    isLost: name => name === 'h0',
    isInGracePeriod: true,
  });
  expect(listFormed(actions)).toEqual(['set-group big-1']);
});
