/**
 * Load: all control processes are killed at the same moment and start again.
 * Counting the silence of the leader from when a node was created, and not from
 * when its process began, made callers wait for as long as the start had taken.
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

test('a node stands for election by the time that its process has run', () => {
  const node = createNode(STARTED_AT + 400, STARTED_AT);
  node.step({type: 'tick'}, STARTED_AT + electionMs - 1);
  expect(node.role).toBe('follower');
  node.step({type: 'tick'}, STARTED_AT + electionMs);
  expect(node.role).toBe('pre-candidate');
});

test('a node that started long before its log was read stands at once', () => {
  const node = createNode(STARTED_AT + 5_000, STARTED_AT);
  node.step({type: 'tick'}, STARTED_AT + 5_000);
  expect(node.role).toBe('pre-candidate');
});

test('a node gives no vote before the leader of its last life has lost its lease', () => {
  const node = createNode(STARTED_AT + 400, STARTED_AT);
  expect(isGranted(node, STARTED_AT + electionMs - 1)).toBe(false);
  expect(isGranted(node, STARTED_AT + electionMs)).toBe(true);
});

test('a node that is not told when its process began counts from its creation', () => {
  const node = createNode(STARTED_AT);
  expect(isGranted(node, STARTED_AT + electionMs - 1)).toBe(false);
  expect(isGranted(node, STARTED_AT + electionMs)).toBe(true);
});
