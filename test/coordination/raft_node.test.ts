import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {RaftLog} from '../../src/coordination/agreement/raft_log';
import {RaftNode} from '../../src/coordination/agreement/raft_node';
import {RaftMessage} from '../../src/protocol/raft_message';
import {RaftNetwork} from '../support/raft_network';

const NODES = ['a', 'b', 'c'];
const RUNS = 1_000;

/** Creates a deterministic generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

const node = fc.constantFrom(...NODES);
const fault = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({do: fc.constant('deliver' as const), pick: fc.nat()}),
  },
  {weight: 8, arbitrary: fc.record({do: fc.constant('sync' as const), node})},
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('tick' as const),
      ms: fc.integer({min: 10, max: 400}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({do: fc.constant('propose' as const), node}),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('repeat' as const), pick: fc.nat()}),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('lose' as const), pick: fc.nat()}),
  },
  {weight: 1, arbitrary: fc.record({do: fc.constant('crash' as const), node})},
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('restart' as const), node}),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('cut' as const), node, other: node}),
  },
  {weight: 1, arbitrary: fc.record({do: fc.constant('heal' as const)})},
);
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never;

function applyStep(net: RaftNetwork, step: Fault, at: number): void {
  const flights = net.messagesInFlight.length;
  const actions: {[T in Fault['do']]: (step: Extract<Fault, {do: T}>) => void} =
    {
      deliver: ({pick}) => flights > 0 && net.deliver(pick % flights),
      repeat: ({pick}) => flights > 0 && net.deliver(pick % flights, true),
      lose: ({pick}) =>
        flights > 0 && net.messagesInFlight.splice(pick % flights, 1),
      sync: step => net.sync(step.node),
      tick: ({ms}) => net.tick(ms),
      propose: step => net.propose(step.node, at),
      crash: step => net.crash(step.node),
      restart: step => {
        if (!net.get(step.node).isUp) {
          net.restart(step.node);
        }
      },
      cut: step => net.cut(step.node, step.other),
      heal: () => net.heal(),
    };
  actions[step.do](step as never);
}

describe('Raft under message loss, partitions and crashes', () => {
  test('has one leader per term, keeps committed entries, has matching logs and recovers after the faults', () => {
    fc.assert(
      fc.property(
        fc.array(fault, {minLength: 50, maxLength: 250}),
        fc.nat(),
        (steps, seed) => {
          const net = RaftNetwork.create(NODES, createRandom(seed));
          net.runUntilCommitted();
          // RaftNetwork throws if a term has two leaders or a committed entry changes.
          steps.forEach((step, at) => applyStep(net, step, at));

          expect(net.runUntilCommitted()).toBe(true);
          const logs = NODES.map(name => net.get(name).node.listEntries());
          const shortest = Math.min(
            ...NODES.map(name => net.get(name).node.commitIndex),
          );
          const prefixes = logs.map(entries =>
            JSON.stringify(entries.slice(0, shortest)),
          );
          expect(new Set(prefixes).size).toBe(1);
        },
      ),
      {numRuns: RUNS, seed: 20_261_202},
    );
  });

  test('a leader without contact to a quorum loses its lease before another one is elected', () => {
    const net = RaftNetwork.create(NODES, createRandom(1));
    net.runUntilCommitted();
    const [leader] = [...net.leaders.entries()]
      .sort((x, y) => y[0] - x[0])[0]
      .slice(1) as [string];
    for (const other of NODES) {
      net.cut(leader, other);
      net.cut(other, leader);
    }
    let wasLeased = true;
    for (let round = 0; round < 200; round += 1) {
      net.tick(10);
      NODES.forEach(name => net.sync(name));
      while (net.messagesInFlight.length > 0) {
        net.deliver(0);
        NODES.forEach(name => net.sync(name));
      }
      const hasLease = net.get(leader).node.hasLease(net.now);
      const isOtherLeader = NODES.some(
        name => name !== leader && net.get(name).node.role === 'leader',
      );
      expect(hasLease && isOtherLeader).toBe(false);
      wasLeased = hasLease;
    }
    expect(wasLeased).toBe(false);
    expect(net.get(leader).node.role).not.toBe('leader');
    expect([...net.leaders.values()].some(name => name !== leader)).toBe(true);
  });

  test('a node that was partitioned for a long time does not raise the term when it reconnects', () => {
    const net = RaftNetwork.create(NODES, createRandom(2));
    net.runUntilCommitted();
    const term = Math.max(...net.leaders.keys());
    const leader = net.leaders.get(term) ?? '';
    const partitioned = NODES.find(name => name !== leader) ?? '';
    for (const other of NODES) {
      net.cut(partitioned, other);
      net.cut(other, partitioned);
    }
    for (let round = 0; round < 100; round += 1) {
      net.tick(40);
      NODES.forEach(name => net.sync(name));
      while (net.messagesInFlight.length > 0) {
        net.deliver(0);
        NODES.forEach(name => net.sync(name));
      }
    }
    expect(net.runUntilCommitted()).toBe(true);
    expect(net.get(leader).node.role).toBe('leader');
    expect(net.get(leader).node.term).toBe(term);
  });
});

test('an entry of an earlier term is committed only together with an entry of the current term', () => {
  const voters = new Map(NODES.map(name => [name, name]));
  const earlierEntry = {
    index: 1,
    term: 1,
    command: {type: 'start-term' as const, time: 1},
  };
  const leader = RaftNode.create({
    identity: 'a',
    log: RaftLog.create({index: 0, term: 0, voters}, [earlierEntry]),
    term: 2,
    votedFor: undefined,
    commitIndex: 0,
    timing: {heartbeatMs: 50, electionMs: 300, leaseMs: 225},
    random: () => 0,
    readSnapshot: () => new Uint8Array(),
    now: 0,
  });
  const vote = {type: 'vote-answer', term: 3, isGranted: true} as const;
  const answer = {
    type: 'append-answer',
    term: 3,
    isMatch: true,
    round: 1,
  } as const;
  const from = (message: RaftMessage) =>
    ({type: 'message', from: 'b', message}) as const;
  leader.step({type: 'tick'}, 400);
  leader.step(from({...vote, isPreVote: true}), 401);
  leader.step(from({...vote, isPreVote: false}), 402);
  leader.step({type: 'persisted', index: 2, term: 3}, 403);
  expect(leader.role).toBe('leader');

  expect(
    leader.step(from({...answer, matchIndex: 1}), 404).committedEntries,
  ).toEqual([]);
  const bothEntries = leader.step(
    from({...answer, matchIndex: 2}),
    405,
  ).committedEntries;
  expect(bothEntries.map(entry => entry.index)).toEqual([1, 2]);
});
