/**
 * Restart of all control processes at the same time. Guards against an election
 * timeout that counts from the creation of the Raft node instead of the start of its
 * process, which lengthened the time without a leader by the duration of the startup.
 */
import {expect, test} from 'vitest';
import {defaultRaftTiming} from '../../src/coordination/agreement/default_raft_timing';
import {RaftLog} from '../../src/coordination/agreement/raft_log';
import {RaftNode} from '../../src/coordination/agreement/raft_node';

const voters = new Map(['a', 'b', 'c'].map(name => [name, `${name}/1`]));
const {electionMs} = defaultRaftTiming;
const STARTED_AT = 1_000;

function createNode(now: number, startedAt?: number) {
  return RaftNode.create({
    identity: 'a/1',
    log: RaftLog.create({index: 0, term: 0, voters}, []),
    term: 3,
    votedFor: undefined,
    commitIndex: 0,
    timing: defaultRaftTiming,
    random: () => 0,
    readSnapshot: () => new Uint8Array(),
    now,
    startedAt,
  });
}

function isGranted(node: RaftNode, now: number): boolean {
  const message = {
    type: 'vote-ask' as const,
    term: 4,
    lastIndex: 0,
    lastTerm: 0,
    isPreVote: true,
  };
  const event = {type: 'message' as const, from: 'b/1', message};
  const {messagesAfterPersist} = node.step(event, now);
  const [answer] = messagesAfterPersist.map(sent => sent.message);
  return answer?.type === 'vote-answer' && answer.isGranted;
}

test('the election timeout counts from the start of the process', () => {
  const node = createNode(STARTED_AT + 400, STARTED_AT);
  node.step({type: 'tick'}, STARTED_AT + electionMs - 1);
  expect(node.role).toBe('follower');
  node.step({type: 'tick'}, STARTED_AT + electionMs);
  expect(node.role).toBe('pre-candidate');
});

test('a node starts an election at once if its process started long before', () => {
  const node = createNode(STARTED_AT + 5_000, STARTED_AT);
  node.step({type: 'tick'}, STARTED_AT + 5_000);
  expect(node.role).toBe('pre-candidate');
});

test('a restarted node grants no vote before the lease of the previous leader has expired', () => {
  const node = createNode(STARTED_AT + 400, STARTED_AT);
  expect(isGranted(node, STARTED_AT + electionMs - 1)).toBe(false);
  expect(isGranted(node, STARTED_AT + electionMs)).toBe(true);
});

test('without the start time of the process, the timeout counts from the creation of the node', () => {
  const node = createNode(STARTED_AT);
  expect(isGranted(node, STARTED_AT + electionMs - 1)).toBe(false);
  expect(isGranted(node, STARTED_AT + electionMs)).toBe(true);
});
