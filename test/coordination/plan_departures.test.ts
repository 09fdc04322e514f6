import {describe, expect, test} from 'vitest';
import {BackendView} from '../../src/coordination/groups/backend_view';
import {
  NOW,
  createGroup,
  createGroupReport,
  createHost,
  createPlan,
  describeActions,
} from '../support/engine_plan';

const held = {model: 'low', stagedModels: ['big']};

function plan(
  spares: readonly BackendView[],
  leaving = 'b',
  leavingSeenAt = NOW,
) {
  const seenAt = (incarnation: string) =>
    incarnation === leaving ? leavingSeenAt : NOW;
  const actions = createPlan({
    groups: [createGroup(['a', 'b'])],
    backends: [
      createHost('a', {...held, ...createGroupReport('open')}, seenAt('a')),
      createHost('b', {...held, ...createGroupReport('ready', 1)}, seenAt('b')),
      ...spares,
    ],
    desiredGroups: new Map([['low', 1]]),
    isRetired: incarnation => incarnation === leaving,
  });
  return describeActions(actions);
}

// Guards against groups that ended with the announcement of a departure, up to 33 s before
// their model had another one.
describe('a group with a leaving member', () => {
  test('goes on serving while there is no replacement', () => {
    expect(plan([])).toEqual([]);
  });

  test('goes on serving while its replacement takes the model into memory', () => {
    const spare = createHost('s', {model: 'big', stagedModels: ['low']});
    expect(plan([spare])).toEqual(['join s']);
  });

  test('ends once its replacement is ready', () => {
    expect(plan([createHost('s', held)])).toContain('end-group low-1');
  });

  test('is not replaced from another domain', () => {
    const spare = createHost('s', {...held, domain: 'e'});
    expect(plan([spare])).toEqual([]);
  });

  test('ends when the leaving member is silent', () => {
    expect(plan([], 'b', NOW - 2_500)).toContain('end-group low-1');
  });

  test('ends when its head is the one that leaves', () => {
    expect(plan([], 'a')).toContain('end-group low-1');
  });
});
