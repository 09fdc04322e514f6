import {describe, expect, test} from 'vitest';
import {BackendView} from '../../src/coordination/groups/backend_view';
import {EngineGroup} from '../../src/protocol/engine_group';
import {
  PROFILE,
  createGroup,
  createHost,
  createHosts,
  createPlan,
  describeActions,
} from '../support/engine_plan';

const [big, low] = PROFILE.models;
const profile = {
  ...PROFILE,
  models: [
    {...big, size: 6},
    {...low, size: 3, pace: 0.6},
  ],
};
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
