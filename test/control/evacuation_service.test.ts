/**
 * Guards against evacuations that are lost, or that are refused for good by mistake: an
 * operator repeats an order until it is acknowledged, at any control process, and gives up
 * when the zone is said to be unknown.
 */
import {generateKeyPairSync, sign} from 'node:crypto';
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ControlSettings} from '../../src/control/control_settings';
import {EvacuationService} from '../../src/control/evacuation_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {computeKeyId} from '../../src/protocol/compute_key_id';
import {ControlCommand} from '../../src/protocol/control_command';
import {encodeEvacuationOrder} from '../../src/protocol/encode_evacuation_order';
import {ClusterState} from '../../src/state/cluster_state';

const CHANNEL = 'operators';
const KEYS = generateKeyPairSync('ed25519');
const KEY_ID = computeKeyId(KEYS.publicKey);

interface Conditions {
  readonly configured?: readonly string[];
  readonly registered?: readonly string[];
  readonly leadingMs?: number;
  readonly voters?: number;
}

/** Creates a service whose proposals are committed by `commit`. */
function create({
  configured = ['zone-a', 'zone-b'],
  registered = [],
  leadingMs = 60_000,
  voters = 3,
}: Conditions = {}) {
  const state = ClusterState.create();
  const queue: Array<() => void> = [];
  let proposals = 0;
  const runtime = {
    state,
    raft: {
      commitIndex: 1,
      listVotersAt: () =>
        new Map(Array.from({length: voters}, (_, at) => [`c${at}`, ''])),
    },
    leadingSince: 0,
    propose: (command: ControlCommand) => {
      proposals += 1;
      const index = proposals;
      return new Promise(resolve =>
        queue.push(() => resolve(state.apply({index, term: 1, command}))),
      );
    },
  } as unknown as RaftRuntime;
  const events = EventRing.create();
  const service = EvacuationService.create({
    settings: {
      trustedChannels: [CHANNEL],
      trustedKeys: [KEYS.publicKey],
      listZones: () => configured,
      seeded: {seeds: [], isFirstStart: true, voters: 3, minCopies: 2},
    } satisfies Partial<ControlSettings>,
    runtime,
    registry: {listZones: () => [...registered]},
    clock: {now: () => leadingMs},
    events,
  });
  const send = async (
    zone: string,
    isEvacuated = true,
    origin: object = {channel: CHANNEL},
  ) => {
    const order = {type: 'evacuation-ask' as const, call: 1, zone, isEvacuated};
    const answer = await service.handlers['evacuation-ask']({
      ...order,
      ...origin,
    });
    if (answer.type !== 'evacuation-answer') {
      throw new Error(`unexpected ${answer.type}`);
    }
    return answer;
  };
  const commit = () => queue.splice(0).forEach(apply => apply());
  return {state, events, send, commit, countProposals: () => proposals};
}

function createSignature(zone: string, isEvacuated: boolean, time: number) {
  const text = encodeEvacuationOrder(zone, isEvacuated, time);
  const signature = sign(null, Buffer.from(text), KEYS.privateKey);
  return {keyId: KEY_ID, time, signature: signature.toString('base64')};
}

test('an order is acknowledged only once it is committed', async () => {
  const {state, send, commit} = create();
  let isAnswered = false;
  const answer = send('zone-a').finally(() => (isAnswered = true));
  await new Promise(resolve => setImmediate(resolve));
  expect(isAnswered).toBe(false);
  commit();
  expect(await answer).toMatchObject({isAccepted: true, isUnknownZone: false});
  expect(state.evacuations.has('zone-a')).toBe(true);
});

test('equal orders share one log entry, and are acknowledged again later without another one', async () => {
  const {send, commit, countProposals} = create();
  const answers = [send('zone-a'), send('zone-a')];
  await new Promise(resolve => setImmediate(resolve));
  commit();
  const again = await send('zone-a');

  expect((await Promise.all(answers)).every(each => each.isAccepted)).toBe(
    true,
  );
  expect(again.isAccepted).toBe(true);
  expect(countProposals()).toBe(1);
});

test('an order that contradicts a pending one is committed after it', async () => {
  const {state, send, commit, countProposals} = create();
  const first = send('zone-a');
  commit();
  await first;
  // The operator does not wait for the restore. The zone is still evacuated when the next
  // order arrives; without a log entry of its own it would be lost.
  const restored = send('zone-a', false);
  const evacuated = send('zone-a', true);
  await new Promise(resolve => setImmediate(resolve));
  commit();
  await Promise.all([restored, evacuated]);

  expect(state.evacuations.has('zone-a')).toBe(true);
  expect(countProposals()).toBe(3);
});

test('several zones are evacuated and restored independently', async () => {
  const {state, send, commit} = create();
  const orders = [send('zone-a'), send('zone-b')];
  await new Promise(resolve => setImmediate(resolve));
  commit();
  await Promise.all(orders);
  const restored = send('zone-a', false);
  await new Promise(resolve => setImmediate(resolve));
  commit();
  await restored;

  expect(state.evacuations.list()).toMatchObject([
    {zone: 'zone-b', requestedBy: CHANNEL},
  ]);
});

test('an order is not acknowledged while too few disks would have it', async () => {
  const {send, countProposals} = create({voters: 1});
  await expect(send('zone-a')).rejects.toThrow('1 of 3 voters');
  expect(countProposals()).toBe(0);
});

test.each([
  ['configured', {configured: ['zone-a']}],
  ['registered, though not configured', {registered: ['zone-a']}],
  [
    'registered, and none is configured',
    {configured: [], registered: ['zone-a']},
  ],
])('a zone is known that is %s', async (_, conditions) => {
  const {send, commit} = create(conditions);
  const answer = send('zone-a');
  await new Promise(resolve => setImmediate(resolve));
  commit();
  expect((await answer).isAccepted).toBe(true);
});

test.each([
  ['it is not among the configured ones', {leadingMs: 10}],
  [
    'none is configured and all backend servers are in others',
    {configured: [], registered: ['zone-a']},
  ],
])('a zone is refused for good when %s', async (_, conditions) => {
  const {send, countProposals, events} = create(conditions);
  for (const isEvacuated of [true, false]) {
    expect(await send('zone-x', isEvacuated)).toMatchObject({
      isAccepted: false,
      isUnknownZone: true,
    });
  }
  expect(countProposals()).toBe(0);
  expect(events.listSince(0).map(({type}) => type)).toEqual([
    'evacuation-refused',
    'evacuation-refused',
  ]);
});

test.each([
  ['no backend server has registered', {configured: []}],
  [
    'a new leader may not have heard from all backend servers',
    {configured: [], registered: ['zone-a'], leadingMs: 14_000},
  ],
])('a zone is not refused for good while %s', async (_, conditions) => {
  await expect(create(conditions).send('zone-x')).rejects.toThrow(
    'not known yet',
  );
});

test('an order on a channel that is not trusted is not executed', async () => {
  const {send, countProposals} = create();
  await expect(send('zone-a', true, {channel: 'x'})).rejects.toThrow(
    'not trusted',
  );
  expect(countProposals()).toBe(0);
});

test('a signed order is executed in the name of its key', async () => {
  const {state, send, commit} = create();
  const answer = send(
    'zone-a',
    true,
    createSignature('zone-a', true, Date.now()),
  );
  await new Promise(resolve => setImmediate(resolve));
  commit();
  expect(await answer).toMatchObject({isAccepted: true});
  expect(state.evacuations.list()).toMatchObject([{requestedBy: KEY_ID}]);
});

test.each([
  ['without a signature', {}],
  ['for another zone', createSignature('zone-b', true, Date.now())],
  ['to restore', createSignature('zone-a', false, Date.now())],
  ['older than a minute', createSignature('zone-a', true, Date.now() - 61_000)],
])('an order %s is refused', async (_, origin) => {
  const {send, countProposals} = create();
  expect(await send('zone-a', true, origin)).toMatchObject({
    isAccepted: false,
    isUnknownZone: false,
  });
  expect(countProposals()).toBe(0);
});
