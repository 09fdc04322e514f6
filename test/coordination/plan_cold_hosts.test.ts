import {expect, test} from 'vitest';
import {createHosts, createPlan} from '../support/engine_plan';

const MODEL = {model: 'low', stagedModels: ['low']};
const COLD = {...MODEL, coldForMs: 8_000};
const desiredGroups = new Map([['low', 1]]);

/** Lists the members of the group that is formed first. */
function findMembers(backends: ReturnType<typeof createHosts>): string[] {
  const actions = createPlan({backends, desiredGroups});
  const [first = []] = actions.flatMap(action =>
    action.type === 'set-group' ? [action.group.members] : [],
  );
  return first.map(({incarnation}) => incarnation);
}

// Guards against a first group on cold hosts, whose head takes few requests,
// while a domain with warm hosts is free.
test('a group is formed of warm hosts rather than of cold ones in another domain', () => {
  const cold = createHosts('a', 3, COLD);
  expect(findMembers([...cold, ...createHosts('b', 3, MODEL)])).toEqual([
    'b0',
    'b1',
  ]);
});

test('a group is formed of the warm hosts of a domain', () => {
  const [first, ...others] = createHosts('a', 4, MODEL);
  const {registration} = first;
  const cold = {...first, registration: {...registration, coldForMs: 8_000}};
  expect(findMembers([cold, ...others])).toEqual(['a1', 'a2']);
});

// Guards against a model without any group while its only hosts are cold.
test('a group is formed of cold hosts where there are no others', () => {
  expect(findMembers(createHosts('a', 3, COLD))).toEqual(['a0', 'a1']);
});
