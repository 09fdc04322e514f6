import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {RetryLoanService} from '../../src/control/retry_loan_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {ControlCommand} from '../../src/protocol/control_command';
import {ClusterState} from '../../src/state/cluster_state';

const WINDOW_MS = 10_000;
/** The use of a loan, its transit and a window. */
const COUNTS_FOR_MS = 13_000;

/** Leaders that share a replicated state, on a manual clock. */
function start() {
  let state = ClusterState.create();
  let time = 0;
  let index = 0;
  const events = EventRing.create();
  const runtime = {
    get state() {
      return state;
    },
    propose: async (command: ControlCommand) => {
      await new Promise(resolve => setImmediate(resolve));
      index += 1;
      return state.apply({index, term: 1, command});
    },
  } as unknown as RaftRuntime;
  const startLeader = () =>
    RetryLoanService.create({
      runtime,
      clock: {now: () => time},
      events,
      retries: {windowMs: WINDOW_MS, slack: 10},
    });
  let leader = startLeader();
  return {
    events,
    wait: (ms: number) => (time += ms),
    changeLeader: () => (leader = startLeader()),
    restoreState: () => (state = ClusterState.create(state.save())),
    refresh: () => leader.refresh(),
    borrow: async (wanted: number, pool = 'p') => {
      const answer = await leader.handlers['retry-loan-ask']({
        type: 'retry-loan-ask',
        call: 1,
        gatewayId: 'g',
        pool,
        wanted,
      });
      return answer.type === 'retry-loan-answer' ? answer.granted : -1;
    },
  };
}

test('no more is lent at a time than the slack of the pool, and half of what is left to one gateway', async () => {
  const {borrow} = start();
  const granted: number[] = [];
  for (let count = 0; count < 6; count += 1) {
    granted.push(await borrow(100));
  }

  expect(granted).toEqual([5, 3, 1, 1, 0, 0]);
  expect(await borrow(2, 'other')).toBe(2);
});

test('loans asked for at the same time keep to the slack', async () => {
  const {borrow} = start();
  const granted = await Promise.all([1, 2, 3, 4].map(() => borrow(100)));

  expect(granted).toEqual([5, 5, 0, 0]);
});

test('a loan is returned once its retries are in no window', async () => {
  const {borrow, wait} = start();
  await borrow(4);
  wait(COUNTS_FOR_MS - 1);
  expect(await borrow(100)).toBe(3);
  wait(1);
  expect(await borrow(100)).toBe(4);
});

test('what an earlier leader has lent counts for its whole time from when a new one sees it', async () => {
  const {borrow, wait, changeLeader, refresh} = start();
  await borrow(10);
  wait(9_000);
  changeLeader();
  refresh();
  wait(COUNTS_FOR_MS - 1);
  expect(await borrow(100)).toBe(3);
  wait(1);
  expect(await borrow(100)).toBe(4);
});

test('loans are restored from a snapshot', async () => {
  const {borrow, restoreState, changeLeader} = start();
  await borrow(4);
  restoreState();
  changeLeader();

  expect(await borrow(100)).toBe(3);
});

test('a loan that is granted and one that is not are logged with what was lent', async () => {
  const {borrow, events} = start();
  for (let count = 0; count < 5; count += 1) {
    await borrow(100);
  }

  const logged = events.listSince(0).map(({type, details}) => [type, details]);
  expect(logged).toEqual([
    [
      'retries-lent',
      {gatewayId: 'g', wanted: 100, granted: 5, lent: 5, slack: 10},
    ],
    [
      'retries-not-lent',
      {gatewayId: 'g', wanted: 100, granted: 0, lent: 10, slack: 10},
    ],
  ]);
});
