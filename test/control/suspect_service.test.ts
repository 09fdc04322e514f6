import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRegistry} from '../../src/control/backend_registry';
import {SuspectService} from '../../src/control/suspect_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {ControlCommand} from '../../src/protocol/control_command';
import {ClusterState} from '../../src/state/cluster_state';

/** A leader that commits proposals at once, on a manual clock and timers. */
function start() {
  const state = ClusterState.create();
  let time = 0;
  let index = 0;
  const due: Array<{at: number; act: () => void}> = [];
  const registry = BackendRegistry.create();
  const runtime = {
    state,
    propose: (command: ControlCommand) => {
      index += 1;
      return Promise.resolve(state.apply({index, term: 1, command}));
    },
  } as unknown as RaftRuntime;
  const events = EventRing.create();
  const service = SuspectService.create({
    runtime,
    events,
    registry,
    clock: {now: () => time},
    timers: {
      delay: (ms, act) => {
        due.push({at: time + ms, act});
        return () => undefined;
      },
      repeat: () => () => undefined,
      defer: act => act(),
    },
  });
  return {
    state,
    service,
    events,
    wait: async (ms: number) => {
      time += ms;
      due.filter(({at}) => at <= time).forEach(({act}) => act());
      await new Promise(resolve => setImmediate(resolve));
    },
    register: (incarnation: string, sequence: number) =>
      registry.record(
        {
          incarnation,
          pool: 'p',
          address: `${incarnation}:1`,
          zone: 'z',
          isLeaving: false,
          sequence,
          slots: 1,
          stagedModels: [],
        },
        time,
      ),
    reportCrash: (incarnation: string, notBegun: string[]) =>
      service.handlers['ends-ask']({
        type: 'ends-ask',
        call: 1,
        gatewayId: 'g',
        crashes: [{incarnation, notBegun, begun: []}],
        released: [],
        cleared: [],
      }),
  };
}

test('a crash is withdrawn when the same incarnation goes on registering', async () => {
  const {state, events, register, reportCrash, wait} = start();
  await reportCrash('i1', ['p']);
  await wait(9_000);
  register('i1', 7);
  await wait(2_000);
  expect(state.suspects.find('p')).toBeUndefined();
  expect(events.listSince(0).map(({type}) => type)).toEqual([
    'backend-ended',
    'request-suspected',
    'end-withdrawn',
    'request-freed',
  ]);
});

test('a registration that was in flight during the crash does not withdraw it', async () => {
  const {state, register, reportCrash, wait} = start();
  await reportCrash('i1', ['p']);
  await wait(3_000);
  register('i1', 7);
  await wait(8_000);
  expect(state.suspects.find('p')?.standing).toBe('suspected');
});

test('the end of a backend server that had deregistered is not blamed on its requests', async () => {
  const {state, reportCrash} = start();
  const reason = 'it said goodbye';
  const command = {type: 'retire-backend' as const, time: 1, reason};
  state.apply({index: 9, term: 1, command: {...command, incarnation: 'i1'}});
  await reportCrash('i1', ['p']);
  expect(state.suspects.find('p')).toBeUndefined();
});

test('a verdict is in the journal with its evidence, and survives a snapshot', async () => {
  const {state, reportCrash} = start();
  await reportCrash('i1', ['p']);
  await reportCrash('i2', ['p']);
  await reportCrash('i3', ['p']);
  const copy = ClusterState.create(state.save());
  expect(copy.suspects.find('p')?.standing).toBe('convicted');
  expect(
    copy.listJournal({subject: 'request', id: 'p', after: 0}),
  ).toMatchObject([
    {
      type: 'request-convicted',
      reason: '3 backend servers ended under it: i1 i2 i3',
    },
  ]);
});
