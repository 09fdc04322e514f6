import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRegistry} from '../../src/control/backend_registry';
import {SuspectService} from '../../src/control/suspect_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {ControlCommand} from '../../src/protocol/control_command';
import {ClusterState} from '../../src/state/cluster_state';

/** A leader whose log takes everything at once, on a clock and timers of the test. */
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
  const desk = SuspectService.create({
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
    desk,
    events,
    wait: async (ms: number) => {
      time += ms;
      due.filter(({at}) => at <= time).forEach(({act}) => act());
      await new Promise(resolve => setImmediate(resolve));
    },
    hear: (incarnation: string, sequence: number) =>
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
    tellEnd: (incarnation: string, notBegun: string[]) =>
      desk.handlers['ends-ask']({
        type: 'ends-ask',
        call: 1,
        gatewayId: 'g',
        crashes: [{incarnation, notBegun, begun: []}],
        released: [],
        cleared: [],
      }),
  };
}

test('an end is taken back when its backend server goes on speaking', async () => {
  const {state, events, hear, tellEnd, wait} = start();
  await tellEnd('i1', ['p']);
  await wait(9_000);
  hear('i1', 7);
  await wait(2_000);
  expect(state.suspects.find('p')).toBeUndefined();
  expect(events.listSince(0).map(({type}) => type)).toEqual([
    'backend-ended',
    'request-suspected',
    'end-withdrawn',
    'request-freed',
  ]);
});

test('words that were on their way when it ended take nothing back', async () => {
  const {state, hear, tellEnd, wait} = start();
  await tellEnd('i1', ['p']);
  await wait(3_000);
  hear('i1', 7);
  await wait(8_000);
  expect(state.suspects.find('p')?.standing).toBe('suspected');
});

test('what said goodbye before was not ended by what ran there', async () => {
  const {state, tellEnd} = start();
  const reason = 'it said goodbye';
  const command = {type: 'retire-backend' as const, time: 1, reason};
  state.apply({index: 9, term: 1, command: {...command, incarnation: 'i1'}});
  await tellEnd('i1', ['p']);
  expect(state.suspects.find('p')).toBeUndefined();
});

test('a verdict is in the journal with what led to it, and outlasts a snapshot', async () => {
  const {state, tellEnd} = start();
  await tellEnd('i1', ['p']);
  await tellEnd('i2', ['p']);
  await tellEnd('i3', ['p']);
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
