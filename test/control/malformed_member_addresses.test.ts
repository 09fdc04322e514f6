/**
 * A leader of the version before may have committed a group whose members have
 * malformed addresses. Orders and probes to them must fail as those to a server that
 * cannot be reached: what throws there ends the process that leads.
 */
import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {BackendHealth} from '../../src/control/backend_health';
import {BackendRegistry} from '../../src/control/backend_registry';
import {ClosedHeads} from '../../src/control/closed_heads';
import {HeadStopDetector} from '../../src/control/head_stop_detector';
import {OrderDispatcher} from '../../src/control/order_dispatcher';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {TargetTable} from '../../src/control/target_table';
import {EngineClient} from '../../src/protocol/engine_client';
import {EngineGroup} from '../../src/protocol/engine_group';
import {EngineGroupTable} from '../../src/state/engine_group_table';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';
import {PROFILE, createGroup, createHost} from '../support/engine_plan';

const NOW = 100_000;
const HEARTBEAT_MS = 1_000;
const STALL_MS = 5_000;
const MALFORMED = listMalformedAddresses(8_080);
const clock = {now: () => NOW};

function createFakeEngines() {
  const called: string[] = [];
  const orders: EngineClient = {
    send: ({address}) => {
      called.push(address.toString());
      return Promise.resolve({outcome: 'holds'});
    },
    probe: address => {
      called.push(address.toString());
      return Promise.resolve(true);
    },
  };
  return {called, orders};
}

/** A group whose first member has this address and whose second one is sound. */
function createMalformedGroup(address: string): EngineGroup {
  const group = createGroup(['a', 'b']);
  const [head, ...others] = group.members;
  return {...group, members: [{...head, address}, ...others]};
}

/** Waits until callbacks of settled promises have run. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe.each(MALFORMED)('a member with the address %j', address => {
  test('does not answer an order, which says why', async () => {
    const {called, orders} = createFakeEngines();
    const events = EventRing.create();
    const dispatcher = OrderDispatcher.create({
      poolSettings: {heartbeatMs: HEARTBEAT_MS, stallMs: STALL_MS, orders},
      runtime: {raft: {term: 3}} as unknown as RaftRuntime,
      registry: BackendRegistry.create(),
      gateways: {hasServed: true},
      clock,
      events,
    });
    for (const [incarnation, where] of [
      ['a', address],
      ['b', 'b:1'],
    ]) {
      dispatcher.dispatch(
        {
          type: 'order',
          kind: 'leave',
          incarnation,
          address: where,
          isLoad: false,
          reason: 'r',
        },
        PROFILE,
        NOW,
      );
    }
    await flushPromises();

    expect(called).toEqual(['b:1']);
    expect(events.listSince(0)).toMatchObject([
      {
        type: 'engine-order-unanswered',
        id: 'a',
        details: {failure: expect.stringContaining(JSON.stringify(address))},
      },
      {type: 'engine-order-holds', id: 'b'},
    ]);
  });

  test('fails its probes and is lost', async () => {
    const {called, orders} = createFakeEngines();
    const health = BackendHealth.create({
      poolSettings: {heartbeatMs: HEARTBEAT_MS, stallMs: STALL_MS, orders},
      clock,
      registry: BackendRegistry.create(),
      events: EventRing.create(),
      gateways: {
        isReportedStalled: () => true,
        findLastActivityAt: () => -Infinity,
      },
    });
    health.refresh([createMalformedGroup(address)], NOW);
    await flushPromises();

    expect(called).toEqual(['b:1']);
    expect([health.isLost('a'), health.isLost('b')]).toEqual([true, false]);
  });

  test('that is the head of a committed group makes no target', () => {
    const engines = EngineGroupTable.create();
    engines.set(createMalformedGroup(address));
    engines.set(createGroup(['c', 'd'], {name: 'sound', epoch: 8}));
    const rules = {
      pools: [{name: 'p', maxConnections: 10, engine: PROFILE}],
    };
    const table = TargetTable.create({
      registry: BackendRegistry.create(),
      runtime: {
        state: {engines, channel: {version: 1, rules}},
        raft: {term: 1},
        leadingSince: NOW,
      } as unknown as RaftRuntime,
      closedHeads: ClosedHeads.create(),
      leaderName: 'c',
    });

    const {targets} = table.listChangesSince('', NOW);
    expect(targets.map(({incarnation}) => incarnation)).toEqual(['c']);
  });
});

test('a head whose address was committed in another spelling is replaced by the process that registers there', () => {
  const registry = BackendRegistry.create();
  const address = ServerAddress.parse('[::ffff:127.0.0.1]:9').toString();
  registry.record(createHost('c', {address}).registration, NOW);
  const detector = HeadStopDetector.create(registry, STALL_MS);
  const group = createMalformedGroup('[::FFFF:127.0.0.1]:9');

  expect(detector.isHeadStopped(group, NOW)).toBe(true);
});
