/**
 * With 370 backend servers and 36 gateways, 1,573 registrations in 24 s reported joins or
 * loaded weights. Each raised the version of the table, and each version was sent whole to
 * every gateway.
 */
import {describe, expect, test} from 'vitest';
import {ClosedHeads} from '../../src/control/closed_heads';
import {BackendRegistry} from '../../src/control/backend_registry';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {TargetTable} from '../../src/control/target_table';
import {GatewayTargetMessage} from '../../src/protocol/gateway_target_message';
import {EngineGroupTable} from '../../src/state/engine_group_table';
import {createRandom} from '../support/create_random';
import {
  PROFILE,
  GroupReport,
  createGroup,
  createHost,
} from '../support/engine_plan';

const POOLS = [{name: 'p', maxConnections: 10, engine: PROFILE}];
const COMPLETE_AT = 20_000;

function create() {
  const engines = EngineGroupTable.create();
  const registry = BackendRegistry.create();
  const raft = {term: 1};
  const runtime = {
    state: {engines, channel: {version: 1, rules: {pools: POOLS}}},
    raft,
    leadingSince: 0,
  } as unknown as RaftRuntime;
  const closedHeads = ClosedHeads.create();
  const table = TargetTable.create({
    registry,
    runtime,
    closedHeads,
    leaderName: 'c',
  });
  let sequence = 1;
  const register = (name: string, told?: GroupReport) => {
    sequence += 1;
    const changes = {sequence, group: told};
    registry.record(createHost(name, changes).registration, 0);
  };
  return {engines, registry, raft, table, closedHeads, register};
}

function open(name: string, epoch: number): GroupReport {
  return {name, epoch, rank: 0, state: 'open'} as GroupReport;
}

describe('the table of targets', () => {
  test('sends only the changes to a gateway that is up to date', () => {
    const {table, engines, register} = create();
    for (let at = 0; at < 300; at += 1) {
      register(`h${at}`);
    }
    const tag = table.readTag(COMPLETE_AT);
    engines.set(createGroup(['h7', 'h8'], {name: 'g', epoch: 3}));
    register('h7', open('g', 3));
    const update = table.listChangesSince(tag, COMPLETE_AT);

    expect(update.isWholeTable).toBe(false);
    expect(update.targets.map(({incarnation}) => incarnation)).toEqual(['h7']);
    expect(update.closed).toEqual([]);
  });

  test('does not change when a member other than the head registers a change', () => {
    const {table, register} = create();
    register('a');
    register('b');
    const tag = table.readTag(COMPLETE_AT);
    register('b', {
      name: 'g',
      epoch: 3,
      rank: 1,
      state: 'joining',
    } as GroupReport);

    expect(table.readTag(COMPLETE_AT)).toBe(tag);
  });

  test('reports a head that was closed', () => {
    const {table, engines, register} = create();
    engines.set(createGroup(['a', 'b'], {name: 'g', epoch: 3}));
    register('a', open('g', 3));
    const tag = table.readTag(COMPLETE_AT);
    engines.markEnding('g', 3);

    expect(table.listChangesSince(tag, COMPLETE_AT)).toEqual({
      targets: [],
      closed: ['a'],
      retired: [],
      isWholeTable: false,
    });
  });

  // Guards against sends to a group that lost a member: its head refused with 421 for up to a
  // registration interval, and each gateway found that out by its own requests.
  test('leaves out a head that a gateway found closed, in this group only and for a while', () => {
    const {table, engines, closedHeads, register} = create();
    engines.set(createGroup(['a', 'b'], {name: 'g', epoch: 3}));
    register('a', open('g', 3));
    const tag = table.readTag(COMPLETE_AT);
    closedHeads.record([{incarnation: 'a', epoch: 3}], COMPLETE_AT);
    const listTargets = (now: number) =>
      table.listChangesSince('', now).targets.map(target => target.epoch);
    expect(table.listChangesSince(tag, COMPLETE_AT).closed).toEqual(['a']);
    expect(listTargets(COMPLETE_AT + 1_999)).toEqual([]);
    expect(listTargets(COMPLETE_AT + 2_000)).toEqual([3]);
    closedHeads.record([{incarnation: 'a', epoch: 3}], COMPLETE_AT + 2_000);
    engines.set(createGroup(['a', 'b'], {name: 'g', epoch: 4}));
    register('a', open('g', 4));
    expect(listTargets(COMPLETE_AT + 2_001)).toEqual([4]);
  });

  test('is sent whole to a gateway with the table of another leader', () => {
    const {table, raft, register} = create();
    register('a');
    const tag = table.readTag(COMPLETE_AT);
    raft.term = 2;

    expect(table.listChangesSince(tag, COMPLETE_AT).isWholeTable).toBe(true);
  });

  test('is sent whole once the leader has heard all backend servers', () => {
    const {table, register} = create();
    register('a');
    const early = table.readTag(100);
    expect(table.listChangesSince(early, 200).isWholeTable).toBe(false);

    expect(table.listChangesSince(early, COMPLETE_AT).isWholeTable).toBe(true);
  });

  test('is sent whole to a gateway that missed more changes than are kept', () => {
    const {table, engines, register} = create();
    const tag = table.readTag(COMPLETE_AT);
    for (let epoch = 1; epoch < 1_200; epoch += 1) {
      engines.set(createGroup(['a', 'b'], {name: 'g', epoch}));
      register('a', open('g', epoch));
      table.readTag(COMPLETE_AT);
    }

    expect(table.listChangesSince(tag, COMPLETE_AT).isWholeTable).toBe(true);
  });

  test('gives the same targets by changes as in whole', () => {
    const {table, engines, registry, register} = create();
    const random = createRandom(11);
    const draw = (count: number) => Math.floor(random() * count);
    const received = new Map<string, GatewayTargetMessage>();
    const epochs = new Map<string, number>();
    let tag = '';
    let compared = 0;
    for (let step = 1; step < 2_000; step += 1) {
      const head = `h${draw(12)}`;
      const name = `g-${head}`;
      const epoch = epochs.get(head) ?? 0;
      const form = () => {
        engines.set(createGroup([head, `m${step}`], {name, epoch: step}));
        epochs.set(head, step);
      };
      const actions = [
        form,
        () => register(head, open(name, epoch)),
        () => register(head, open(name, epoch)),
        () => register(head),
        () => registry.remove(head),
        () => engines.markEnding(name, epoch),
        () => (draw(3) === 0 ? engines.retire(`m${epoch}`) : undefined),
      ];
      actions[draw(actions.length)]();
      if (draw(3) === 0) {
        const update = table.listChangesSince(tag, COMPLETE_AT);
        if (update.isWholeTable) {
          received.clear();
        }
        update.targets.forEach(target =>
          received.set(target.incarnation, target),
        );
        update.retired.forEach(incarnation => received.delete(incarnation));
        update.closed.forEach(incarnation => received.delete(incarnation));
        tag = table.readTag(COMPLETE_AT);
        const whole = table.listChangesSince('', COMPLETE_AT);
        compared += whole.targets.length;
        expect(new Map(received)).toEqual(
          new Map(whole.targets.map(target => [target.incarnation, target])),
        );
      }
    }
    expect(compared).toBeGreaterThan(500);
  });
});
