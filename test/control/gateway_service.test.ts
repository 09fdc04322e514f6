/**
 * After all processes were killed at once, a new leader knows the groups from its log, but
 * backend servers register only an interval later. Gateways must get targets before that.
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
import {EvacuationTable} from '../../src/state/evacuation_table';
import {SuspectTable} from '../../src/state/suspect_table';
import {PROFILE, createGroup, createHost} from '../support/engine_plan';

type GatewayAsk = MessageOf<ControlMessage, 'gateway-ask'>;

const NOW = 20_000;
const POOL = {name: 'p', maxConnections: 10, engine: PROFILE};

function create(leadingMs: number, rules: unknown = {pools: [POOL]}) {
  const engines = EngineGroupTable.create();
  const evacuations = EvacuationTable.create();
  const registry = BackendRegistry.create();
  const runtime = {
    state: {
      engines,
      channel: {version: 1, rules},
      suspects: SuspectTable.create(),
      evacuations,
    },
    raft: {term: 1, commitIndex: 1, listVotersAt: () => new Map([['c', 'c']])},
    leadingSince: NOW - leadingMs,
    propose: ({incarnation}: {incarnation: string}) =>
      Promise.resolve(engines.retire(incarnation)),
  } as unknown as RaftRuntime;
  const service = GatewayService.create({
    settings: {} as ControlSettings,
    runtime,
    registry,
    clock: {now: () => NOW},
    signal: ChangeSignal.create(),
    events: EventRing.create(),
    identity: 'c/1',
    closesLevels: true,
  });
  const poll = async (changes: Partial<GatewayAsk> = {}) => {
    const answer = await service.handlers['gateway-ask']({
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
      ...changes,
    });
    return answer as MessageOf<ControlMessage, 'gateway-answer'>;
  };
  const listTargets = async () => {
    const {targets = []} = await poll();
    return targets.map(({incarnation, model}) => `${incarnation} ${model}`);
  };
  return {engines, evacuations, registry, service, poll, listTargets};
}

describe('a new leader', () => {
  test('lists heads of committed groups that have not registered yet', async () => {
    const {engines, listTargets} = create(100);
    engines.set(createGroup(['a', 'b']));
    expect(await listTargets()).toEqual(['a low']);
  });

  test('does not list a head that registered without an open group', async () => {
    const {engines, registry, listTargets} = create(100);
    engines.set(createGroup(['a', 'b']));
    registry.record(createHost('a').registration, NOW);
    expect(await listTargets()).toEqual([]);
  });

  test('does not list a head whose address another incarnation has registered', async () => {
    const {engines, registry, listTargets} = create(100);
    engines.set(createGroup(['a', 'b']));
    registry.record(createHost('c', {address: 'a:1'}).registration, NOW);
    expect(await listTargets()).toEqual([]);
  });

  test('does not list a head of a group that is ending or has a retired member', async () => {
    const {engines, listTargets} = create(100);
    engines.set(createGroup(['a', 'b'], {isEnding: true}));
    engines.set(createGroup(['c', 'd'], {name: 'low-2', epoch: 8}));
    engines.retire('d');
    expect(await listTargets()).toEqual([]);
  });
});

test('a leader that has led for long lists only registered heads', async () => {
  const {engines, listTargets} = create(16_000);
  engines.set(createGroup(['a', 'b']));
  expect(await listTargets()).toEqual([]);
});

test('a head that one gateway found closed is withdrawn from the others at once', async () => {
  const {engines, registry, poll} = create(16_000);
  const group = createGroup(['a', 'b']);
  engines.set(group);
  const {name, epoch} = group;
  const told = {name, epoch, rank: 0, state: 'open' as const};
  registry.record(createHost('a', {group: told}).registration, NOW);
  const {tableTag} = await poll();
  const held = poll({
    gatewayId: 'other',
    isUrgent: false,
    rulesVersion: 1,
    tableTag,
  });
  await poll({closedHeads: [{incarnation: 'a', epoch}]});

  expect((await held).closed).toEqual(['a']);
});

// Rules with 1,400 routes were encoded separately for each of 36 gateways. That blocked the
// leader's event loop for half a second after each change, so that answers were dropped;
// after three changes its lease expired ("no quorum answered in time"). A valid change went
// unacknowledged for 10 s without any fault.
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
  const {poll} = create(16_000, {version: 1, routes, pools: [POOL], limits});
  const answers = await Promise.all([1, 2, 3].map(() => poll()));
  const encoded = answers.map(({rules}) => rules);

  expect(encoded[0]).toBeInstanceOf(Uint8Array);
  expect(encoded[1]).toBe(encoded[0]);
  expect(encoded[2]).toBe(encoded[0]);
});

test('a head that announced in a response that it is leaving stays retired, whatever it registers', async () => {
  const {engines, registry, service, listTargets} = create(100);
  engines.set(createGroup(['a', 'b']));
  expect(await listTargets()).toEqual(['a low']);
  const call = {type: 'leaving-ask' as const, call: 1, gatewayId: 'g'};
  await service.handlers['leaving-ask']({...call, incarnations: ['a']});
  expect(await listTargets()).toEqual([]);

  // A registration that doesn't announce it yet changes nothing.
  registry.record(createHost('a').registration, NOW);
  expect(await listTargets()).toEqual([]);
  expect(engines.isRetired('a')).toBe(true);
});

test('evacuations are sent to gateways that have another version of them', async () => {
  const {evacuations, poll} = create(16_000);
  const zone = {zone: 'zone-a', requestedBy: 'operators', since: 1};
  evacuations.evacuate(zone);

  expect(await poll({evacuationsVersion: 0})).toMatchObject({
    evacuationsVersion: 1,
    evacuations: [zone],
  });
  expect((await poll({evacuationsVersion: 1})).evacuations).toBeUndefined();
  // A gateway of an older version names none and must not be answered at once each time.
  expect((await poll()).evacuations).toBeUndefined();
});

describe('the admissions of models', () => {
  const level = {urgency: 0, waiting: 0, requestsPerSecond: 2};
  const queues = [{pool: 'p', model: 'm', levels: [level]}];
  const refused = [{...queues[0], levels: [{...level, refusedMsAgo: 10}]}];

  test('are sent only to gateways that report queues', async () => {
    const {poll} = create(16_000);
    expect((await poll({queues})).admissions).toEqual([
      {
        pool: 'p',
        model: 'm',
        admittedUrgency: null,
        arrivals: [{urgency: 0, requestsPerSecond: 2}],
      },
    ]);
    expect((await poll({gatewayId: 'other'})).admissions).toBeUndefined();
  });

  test('end the long polls of all gateways when an admitted urgency changes', async () => {
    // Guards against requests that begin elsewhere for as long as a long poll is held.
    const {poll} = create(16_000);
    const {tableTag} = await poll({queues});
    // The clock of this service stands still, so that only a change ends the poll.
    const held = poll({queues, isUrgent: false, rulesVersion: 1, tableTag});
    await poll({gatewayId: 'other', queues: refused});
    const {admissions = []} = await held;
    expect(admissions[0].admittedUrgency).toBe(0);
  });
});
