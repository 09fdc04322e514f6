import {expect, test} from 'vitest';
import {defaultRaftTiming} from '../../src/coordination/agreement/default_raft_timing';
import {RaftLog} from '../../src/coordination/agreement/raft_log';
import {RaftNode} from '../../src/coordination/agreement/raft_node';
import {ControlCommand} from '../../src/protocol/control_command';
import {RaftMessage} from '../../src/protocol/raft_message';

const OTHER = 'b/1';
const voters = new Map(['a', 'b', 'c'].map(name => [name, `${name}/1`]));
/** More entries than fit into one message, so that a follower still lacks some when it answers. */
const COMMAND_COUNT = 600;

function createLeader() {
  const node = RaftNode.create({
    identity: 'a/1',
    log: RaftLog.create({index: 0, term: 0, voters}, []),
    term: 0,
    votedFor: undefined,
    commitIndex: 0,
    timing: defaultRaftTiming,
    random: () => 0,
    readSnapshot: () => new Uint8Array(),
    now: 0,
  });
  const receive = (message: RaftMessage, now: number) =>
    node.step({type: 'message', from: OTHER, message}, now);
  const vote = {type: 'vote-answer', term: 1, isGranted: true} as const;
  node.step({type: 'tick'}, 700);
  receive({...vote, isPreVote: true}, 701);
  const elected = receive({...vote, isPreVote: false}, 702);
  return {node, receive, elected};
}

function findRound(effects: ReturnType<RaftNode['step']>): number {
  const sent = effects.messages.find(({to}) => to === OTHER)?.message;
  return sent && 'round' in sent ? sent.round : 0;
}

test('a leader that was paused gets no lease from earlier answers, though messages of their round are sent later', () => {
  const {node, receive, elected} = createLeader();
  expect(node.role).toBe('leader');
  const commands = Array.from({length: COMMAND_COUNT}, (): ControlCommand => {
    return {type: 'start-term', time: 0};
  });
  const lastRound = findRound(node.step({type: 'propose', commands}, 710));
  const answer = {type: 'append-answer', term: 1, isMatch: true} as const;
  // Both answers arrived while the process was paused for 5 s and are read after it.
  const resumedAt = 5_710;
  receive({...answer, matchIndex: 1, round: findRound(elected)}, resumedAt);
  expect(node.hasLease(resumedAt)).toBe(false);
  receive({...answer, matchIndex: 257, round: lastRound}, resumedAt);
  expect(node.hasLease(resumedAt)).toBe(false);
});
