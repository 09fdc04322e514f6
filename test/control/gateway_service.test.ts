/**
 * Load: all processes are killed at the same moment. The leader knows the groups
 * from its log, and backend servers register only an interval later.
 */
import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRegistry} from '../../src/control/backend_registry';
import {ChangeSignal} from '../../src/control/change_signal';
import {ControlSettings} from '../../src/control/control_settings';
import {GatewayService} from '../../src/control/gateway_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {ControlMessage} from '../../src/protocol/control_message';
import {MessageOf} from '../../src/protocol/message_of';
import {EngineGroupTable} from '../../src/state/engine_group_table';
import {SuspectTable} from '../../src/state/suspect_table';
import {PROFILE, group, host} from '../support/engine_plan';

const NOW = 20_000;
const POOL = {name: 'p', maxConnections: 10, engine: PROFILE};

function create(ledMs: number, rules: unknown = {pools: [POOL]}) {
  const engines = EngineGroupTable.create();
  const registry = BackendRegistry.create();
  const runtime = {
    state: {
      engines,
      channel: {version: 1, rules},
      suspects: SuspectTable.create(),
    },
    raft: {term: 1, commitIndex: 1, listVotersAt: () => new Map([['c', 'c']])},
    leadingSince: NOW - ledMs,
    propose: ({incarnation}: {incarnation: string}) =>
      Promise.resolve(engines.retire(incarnation)),
  } as unknown as RaftRuntime;
  const desk = GatewayService.create({
    settings: {} as ControlSettings,
    runtime,
    registry,
    clock: {now: () => NOW},
    signal: ChangeSignal.create(),
    events: EventRing.create(),
    identity: 'c/1',
  });
  const ask = async () => {
    const answer = await desk.handlers['gateway-ask']({
      type: 'gateway-ask',
      call: 1,
      gatewayId: 'g',
      rulesVersion: 0,
      tableTag: '',
      stalled: [],
      answering: [],
      running: {},
      pressed: [],
      hasServed: false,
      isUrgent: true,
    });
    return answer as MessageOf<ControlMessage, 'gateway-answer'>;
  };
  const listTargets = async () => {
    const {targets = []} = await ask();
    return targets.map(({incarnation, model}) => `${incarnation} ${model}`);
  };
  return {engines, registry, desk, ask, listTargets};
}

describe('a leader that has just begun', () => {
  test('tells heads of its log that it has not heard yet', async () => {
    const {engines, listTargets} = create(100);
    engines.set(group(['a', 'b']));
    expect(await listTargets()).toEqual(['a low']);
  });

  test('tells no head that says itself that it serves nobody', async () => {
    const {engines, registry, listTargets} = create(100);
    engines.set(group(['a', 'b']));
    registry.record(host('a').registration, NOW);
    expect(await listTargets()).toEqual([]);
  });

  test('tells no head whose address another start has taken', async () => {
    const {engines, registry, listTargets} = create(100);
    engines.set(group(['a', 'b']));
    registry.record(host('c', {address: 'a:1'}).registration, NOW);
    expect(await listTargets()).toEqual([]);
  });

  test('tells no head of a group that ends or has a member that leaves', async () => {
    const {engines, listTargets} = create(100);
    engines.set(group(['a', 'b'], {isEnding: true}));
    engines.set(group(['c', 'd'], {name: 'low-2', epoch: 8}));
    engines.retire('d');
    expect(await listTargets()).toEqual([]);
  });
});

test('a leader that has led for long tells only heads that it hears', async () => {
  const {engines, listTargets} = create(16_000);
  engines.set(group(['a', 'b']));
  expect(await listTargets()).toEqual([]);
});

// Rules of 1,400 routes went to 36 gateways, and each answer was encoded by itself: the
// leader stood still for half a second after each change, "the lead was lost before the
// answer left", and three versions later it had lost the lead, "no quorum answered in
// time". A valid change had no acknowledgement for 10 s of calm.
test('rules are encoded once for all gateways', async () => {
  const routes = Array.from({length: 1_400}, (_, at) => ({
    name: `route-${at}`,
    host: 'host.example',
    pathPrefix: `/prefix-${at}/`,
    kind: 'stream' as const,
    timeoutMs: 8_000,
    objectiveMs: 500,
    priority: 1,
    targets: [{pool: 'p', weight: 1}],
    maxAttempts: 2,
    isAnonymous: false,
    isResumable: true,
  }));
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const {ask} = create(16_000, {version: 1, routes, pools: [POOL], limits});
  const answers = await Promise.all([1, 2, 3].map(() => ask()));
  const told = answers.map(({rules}) => rules);

  expect(told[0]).toBeInstanceOf(Uint8Array);
  expect(told[1]).toBe(told[0]);
  expect(told[2]).toBe(told[0]);
});

test('a head that said in an answer that it leaves is told to nobody, whatever it registers', async () => {
  const {engines, registry, desk, listTargets} = create(100);
  engines.set(group(['a', 'b']));
  expect(await listTargets()).toEqual(['a low']);
  const ask = {type: 'leaving-ask' as const, call: 1, gatewayId: 'g'};
  await desk.handlers['leaving-ask']({...ask, incarnations: ['a']});
  expect(await listTargets()).toEqual([]);

  // Registrations that do not say so yet change nothing.
  registry.record(host('a').registration, NOW);
  expect(await listTargets()).toEqual([]);
  expect(engines.isRetired('a')).toBe(true);
});
