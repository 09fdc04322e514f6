/**
 * Load: 370 backend servers that register again and again, with news of joins and
 * weights, and 36 gateways that follow. 1,573 registrations with news in 24 s each
 * raised the table's version, and each version went whole to every gateway.
 */
import {describe, expect, test} from 'vitest';
import {BackendRegistry} from '../../src/control/backend_registry';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {TargetTable} from '../../src/control/target_table';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {EngineGroupTable} from '../../src/state/engine_group_table';
import {createRandom} from '../support/create_random';
import {PROFILE, Told, group, host} from '../support/engine_plan';

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
  const table = TargetTable.create({registry, runtime, leaderName: 'c'});
  let sequence = 1;
  const register = (name: string, told?: Told) => {
    sequence += 1;
    const changes = {sequence, group: told};
    registry.record(host(name, changes).registration, 0);
  };
  return {engines, registry, raft, table, register};
}

function open(name: string, epoch: number): Told {
  return {name, epoch, rank: 0, state: 'open'} as Told;
}

describe('the table of targets', () => {
  test('tells a gateway that follows what changed, and nothing else', () => {
    const {table, engines, register} = create();
    for (let at = 0; at < 300; at += 1) {
      register(`h${at}`);
    }
    const tag = table.readTag(COMPLETE_AT);
    engines.set(group(['h7', 'h8'], {name: 'g', epoch: 3}));
    register('h7', open('g', 3));
    const news = table.describeSince(tag, COMPLETE_AT);

    expect(news.isWholeTable).toBe(false);
    expect(news.targets.map(({incarnation}) => incarnation)).toEqual(['h7']);
    expect(news.closed).toEqual([]);
  });

  test('stays as it is while members register with news of their own', () => {
    const {table, register} = create();
    register('a');
    register('b');
    const tag = table.readTag(COMPLETE_AT);
    register('b', {name: 'g', epoch: 3, rank: 1, state: 'joining'} as Told);

    expect(table.readTag(COMPLETE_AT)).toBe(tag);
  });

  test('tells that a head closed', () => {
    const {table, engines, register} = create();
    engines.set(group(['a', 'b'], {name: 'g', epoch: 3}));
    register('a', open('g', 3));
    const tag = table.readTag(COMPLETE_AT);
    engines.markEnding('g', 3);

    expect(table.describeSince(tag, COMPLETE_AT)).toEqual({
      targets: [],
      closed: ['a'],
      retired: [],
      isWholeTable: false,
    });
  });

  test('is told whole to a gateway that followed another leader', () => {
    const {table, raft, register} = create();
    register('a');
    const tag = table.readTag(COMPLETE_AT);
    raft.term = 2;

    expect(table.describeSince(tag, COMPLETE_AT).isWholeTable).toBe(true);
  });

  test('is told whole once the leader has heard everybody', () => {
    const {table, register} = create();
    register('a');
    const early = table.readTag(100);
    expect(table.describeSince(early, 200).isWholeTable).toBe(false);

    expect(table.describeSince(early, COMPLETE_AT).isWholeTable).toBe(true);
  });

  test('is told whole to a gateway that missed more than is remembered', () => {
    const {table, engines, register} = create();
    const tag = table.readTag(COMPLETE_AT);
    for (let epoch = 1; epoch < 1_200; epoch += 1) {
      engines.set(group(['a', 'b'], {name: 'g', epoch}));
      register('a', open('g', epoch));
      table.readTag(COMPLETE_AT);
    }

    expect(table.describeSince(tag, COMPLETE_AT).isWholeTable).toBe(true);
  });

  test('gives those that follow by changes what a newcomer gets whole', () => {
    const {table, engines, registry, register} = create();
    const random = createRandom(11);
    const draw = (count: number) => Math.floor(random() * count);
    const held = new Map<string, GatewayTarget>();
    const epochs = new Map<string, number>();
    let tag = '';
    let compared = 0;
    for (let step = 1; step < 2_000; step += 1) {
      const head = `h${draw(12)}`;
      const name = `g-${head}`;
      const epoch = epochs.get(head) ?? 0;
      const form = () => {
        engines.set(group([head, `m${step}`], {name, epoch: step}));
        epochs.set(head, step);
      };
      const acts = [
        form,
        () => register(head, open(name, epoch)),
        () => register(head, open(name, epoch)),
        () => register(head),
        () => registry.remove(head),
        () => engines.markEnding(name, epoch),
        () => (draw(3) === 0 ? engines.retire(`m${epoch}`) : undefined),
      ];
      acts[draw(acts.length)]();
      if (draw(3) === 0) {
        const news = table.describeSince(tag, COMPLETE_AT);
        if (news.isWholeTable) {
          held.clear();
        }
        news.targets.forEach(target => held.set(target.incarnation, target));
        news.retired.forEach(incarnation => held.delete(incarnation));
        news.closed.forEach(incarnation => held.delete(incarnation));
        tag = table.readTag(COMPLETE_AT);
        const whole = table.describeSince('', COMPLETE_AT);
        compared += whole.targets.length;
        expect(new Map(held)).toEqual(
          new Map(whole.targets.map(target => [target.incarnation, target])),
        );
      }
    }
    expect(compared).toBeGreaterThan(500);
  });
});
