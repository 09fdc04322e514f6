import {describe, expect, test} from 'vitest';
import {computeProbation} from '../../src/coordination/groups/compute_probation';
import {computeRepairCosts} from '../../src/coordination/groups/compute_repair_costs';
import {HostView} from '../../src/coordination/groups/host_view';
import {planGroups} from '../../src/coordination/groups/plan_groups';
import {planStandby} from '../../src/coordination/groups/plan_standby';
import {Bundle} from '../../src/protocol/bundle';
import {Group} from '../../src/protocol/group';

const NOW = 1_000_000;

function createBundle(replicas: number, others: object[] = []): Bundle {
  const assistant = {name: 'assistant', replicas, hostsPerReplica: 3, worth: 5};
  const keyHashes = ['0'.repeat(64)];
  const workspaces = [{name: 'w', keyHashes}];
  return Bundle.parse({
    operator: 'o',
    version: 1,
    models: [assistant, ...others],
    workspaces,
  });
}

function createHost(
  hostId: string,
  changes: Partial<HostView> = {},
  group?: Group,
): HostView {
  const isFirst = group?.members[0].hostId === hostId;
  return {
    report: {
      hostId,
      incarnation: 'i',
      zone: 'z',
      domain: 'd1',
      address: `${hostId}:1`,
      backend: {kind: 'model', name: 'assistant', accelerators: 8},
      isLeaving: false,
      assignment: group ? {groupId: group.id, epoch: group.epoch} : null,
      told: null,
      isServing: isFirst,
      missing: [],
      running: 0,
      isDrained: false,
      bundleVersion: 1,
    },
    seenAt: NOW,
    losses: 0,
    lostAt: -Infinity,
    isDrained: false,
    ...changes,
  };
}

function createGroup(
  name = 'assistant',
  ids = ['h1', 'h2', 'h3'],
  domain = 'd1',
): Group {
  const members = ids.map(hostId => ({
    hostId,
    incarnation: 'i',
    address: `${hostId}:1`,
  }));
  const place = {kind: 'model', name, domain, zone: 'z'} as const;
  return {
    id: `${name}-1`,
    epoch: 1,
    fencing: 1,
    ...place,
    members,
    isDraining: false,
  };
}

function plan(
  groups: readonly Group[],
  hosts: readonly HostView[],
  bundle = createBundle(1),
) {
  return planGroups({bundle, groups, hosts, findEpoch: () => 1, now: NOW});
}

function listMembers(
  action: ReturnType<typeof plan>[number] | undefined,
): string[] {
  return action?.type === 'set-group'
    ? action.group.members.map(member => member.hostId)
    : [];
}

describe('a group that lost a member', () => {
  const group = createGroup();
  const well = [createHost('h1', {}, group), createHost('h2', {}, group)];
  const lost = createHost('h3', {seenAt: NOW - 2_000}, group);

  test('takes a spare that has the model loaded at once', () => {
    const [action] = plan([group], [...well, lost, createHost('h4')]);

    expect(listMembers(action)).toEqual(['h1', 'h2', 'h4']);
    expect(action.reason).toMatch(/^lost h3: spare costs \d+, wait costs \d+/);
  });

  test('waits for its return while the spare would have to load first, and takes it when silence lasts', () => {
    const spare = createHost('h4');
    const cold = {
      ...spare,
      report: {
        ...spare.report,
        backend: {kind: 'model', name: 'other', accelerators: 8},
      },
    } as HostView;
    const longLost = {...lost, seenAt: NOW - 60_000};

    expect(plan([group], [...well, lost, cold])).toEqual([]);
    expect(listMembers(plan([group], [...well, longLost, cold])[0])).toEqual([
      'h1',
      'h2',
      'h4',
    ]);
  });

  test('keeps waiting when there is nothing else to do', () => {
    expect(plan([group], [...well, {...lost, seenAt: NOW - 500_000}])).toEqual(
      [],
    );
  });

  test('moves to another domain when only that has room', () => {
    const elsewhere = ['x1', 'x2', 'x3'].map(id => {
      const host = createHost(id);
      return {...host, report: {...host.report, domain: 'd2'}};
    });
    const hosts = [...well, {...lost, seenAt: NOW - 60_000}, ...elsewhere];

    expect(plan([group], hosts)[0]).toMatchObject({
      type: 'remove-group',
      groupId: 'assistant-1',
    });
  });

  test('drains a group of lower worth in its domain for its hosts', () => {
    const donor = createGroup('extra', ['e1', 'e2', 'e3']);
    const hosts = [
      ...well,
      {...lost, seenAt: NOW - 60_000},
      ...['e1', 'e2', 'e3'].map(id => createHost(id, {}, donor)),
    ];
    const extra = {name: 'extra', replicas: 1, hostsPerReplica: 3, worth: 0.01};
    const bundle = createBundle(1, [extra]);

    expect(plan([group, donor], hosts, bundle)[0]).toMatchObject({
      type: 'drain-group',
      groupId: 'extra-1',
    });
  });

  test('does not take a host that was lost again and again lately', () => {
    const flapping = createHost('h4', {losses: 3, lostAt: NOW - 20_000});

    expect(computeProbation(3)).toBe(30_000);
    expect(plan([group], [...well, lost, flapping])).toEqual([]);
  });

  test('replaces its first member when that alone hears nobody', () => {
    const missingSince = NOW - 3_000;
    const hosts = [
      createHost('h1', {}, group),
      createHost('h2', {missingSince}, group),
      createHost('h3', {missingSince}, group),
      createHost('h4'),
    ];

    expect(listMembers(plan([group], hosts)[0])).toEqual(['h2', 'h3', 'h4']);
  });

  test('gives one spare to one group only', () => {
    const other = {
      ...createGroup('assistant', ['g1', 'g2', 'g3']),
      id: 'assistant-2',
    };
    const hosts = [
      ...well,
      lost,
      createHost('g1', {}, other),
      createHost('g2', {}, other),
      createHost('g3', {seenAt: NOW - 2_000}, other),
      createHost('h4'),
    ];
    const actions = plan([group, other], hosts, createBundle(2));

    expect(
      actions.filter(action => listMembers(action).includes('h4')),
    ).toHaveLength(1);
  });
});

test('the weights of the bundle change the cost of an option', () => {
  const broken = {
    silentMs: 1_600,
    hasForgotten: false,
    losses: 0,
    size: 4,
    survivors: 3,
    acceleratorsPerHost: 8,
    worth: 1,
    spareLoadMs: 3_000,
    rebuildLoadMs: 60_000,
    hasSpares: true,
    canRebuild: false,
    donorWorth: undefined,
    hasUseForSurvivors: false,
  };
  const [kura] = computeRepairCosts({
    ...broken,
    weights: {groupDowntime: 3, strandedAccelerators: 1},
  });
  const [linen] = computeRepairCosts({
    ...broken,
    weights: {groupDowntime: 1, strandedAccelerators: 3},
  });

  expect(kura.action).toBe('spare');
  expect(linen.action).toBe('spare');
  expect(kura.cost / linen.cost).toBeGreaterThan(1);
});

test('free engines load the model of their domain that is worth most, hosts in groups none', () => {
  const group = createGroup();
  const hosts = [createHost('h1', {}, group), createHost('h4')];
  const input = {
    bundle: createBundle(1),
    groups: [group],
    hosts,
    findEpoch: () => 1,
    now: NOW,
  };

  expect([...planStandby(input)]).toEqual([['h4', 'assistant']]);
});
