import {describe, expect, test} from 'vitest';
import {
  Told,
  describeActions,
  group,
  host,
  hosts,
  plan,
  told,
} from '../support/engine_plan';

describe('a cold start', () => {
  test('fills each domain with groups of both models and keeps spares', () => {
    const backends = ['a', 'b', 'c'].flatMap(domain => hosts(domain, 8));
    const actions = plan({
      backends,
      desiredGroups: new Map(),
      isColdStart: true,
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

  test('is ended before anything else', () => {
    const actions = plan({groups: [group(['a', 'b'])], backends, isLost});
    expect(describeActions(actions)).toEqual(['end-group low-1']);
  });

  test('is not reused while its head still holds it', () => {
    const groups = [group(['a', 'b'], {isEnding: true})];
    const actions = plan({groups, backends, isLost});
    expect(describeActions(actions)).toEqual(['leave a']);
  });

  test('is removed once its head has released it', () => {
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
      desiredGroups: new Map([
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
  const groups = [group(['a', 'b'], {isEnding: true})];
  const backends = [host('a', told('open')), host('b', told('ready', 1))];
  const isLost = (incarnation: string) => incarnation === 'a';

  test('breaks its group after a member is ordered to leave', () => {
    const actions = plan({groups, backends, isLost});
    expect(describeActions(actions)).toEqual(['leave b']);
  });

  test('holds its members until it is fenced, however long it was unreachable', () => {
    const left = [host('a', told('open'), 0), host('b')];
    const waiting = plan({
      groups,
      backends: left,
      isLost,
      hasDepartedMember: () => true,
    });
    expect(describeActions(waiting)).toEqual(['release-group low-1']);

    const released = [group(['a', 'b'], {isEnding: true, isReleased: true})];
    const still = plan({groups: released, backends: left, isLost});
    expect(describeActions(still)).toEqual([]);

    const over = plan({
      groups: released,
      backends: left,
      isLost,
      isHeadStopped: () => true,
    });
    expect(describeActions(over)).toEqual(['remove-group low-1']);
  });

  test('is not taken for dead by a new leader that never heard it', () => {
    const known = [host('b', told('ready', 1))];
    const actions = plan({
      groups: [group(['a', 'b'])],
      backends: known,
      isInGracePeriod: true,
    });
    expect(describeActions(actions)).toEqual([]);
  });
});

describe('a member that is retired', () => {
  const isRetired = (incarnation: string) => incarnation === 'b';

  test('stays until the group has finished its requests', () => {
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
    const desiredGroups = new Map([['low', 1]]);
    // The other host preloads a model; nothing is planned for the retired one.
    const actions = plan({backends, isRetired, desiredGroups});
    expect(describeActions(actions)).toEqual(['join a']);
    expect(actions[0]).toMatchObject({group: {name: 'parked-a'}});
  });
});

describe('an ending group', () => {
  const held = {model: 'low', stagedModels: ['big']};
  const spares = [host('s', held), host('t', held)];
  const members = [host('a', told('open')), host('b', told('ready', 1))];
  const groups = [group(['a', 'b'], {isEnding: true})];
  const desiredGroups = new Map([['low', 1]]);
  const backends = [...members, ...spares];

  test('is formed again from its own hosts, not from the spares of others', () => {
    const isLost = (incarnation: string) => incarnation === 'b';
    const actions = plan({groups, backends, desiredGroups, isLost});
    expect(describeActions(actions)).toEqual(['leave a']);
  });

  test('is replaced with spares while an unreachable head holds its hosts', () => {
    const isLost = (incarnation: string) => incarnation === 'a';
    const actions = plan({groups, backends, desiredGroups, isLost});
    expect(describeActions(actions)).toContain('set-group low-2');
  });
});
