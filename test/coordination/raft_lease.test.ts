import {expect, test} from 'vitest';
import {defaultRaftTiming} from '../../src/coordination/agreement/default_raft_timing';
import {RaftLog} from '../../src/coordination/agreement/raft_log';
import {RaftNode} from '../../src/coordination/agreement/raft_node';
import {ControlCommand} from '../../src/protocol/control_command';
import {RaftMessage} from '../../src/protocol/raft_message';

const OTHER = 'b/1';
const voters = new Map(['a', 'b', 'c'].map(name => [name, `${name}/1`]));
/** More than fits into one message, so a follower is behind when it answers. */
const MANY = 600;

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
  const hear = (message: RaftMessage, now: number) =>
    node.step({type: 'message', from: OTHER, message}, now);
  const vote = {type: 'vote-answer', term: 1, isGranted: true} as const;
  node.step({type: 'tick'}, 700);
  hear({...vote, isPreVote: true}, 701);
  const elected = hear({...vote, isPreVote: false}, 702);
  return {node, hear, elected};
}

function findRound(effects: ReturnType<RaftNode['step']>): number {
  const sent = effects.messages.find(({to}) => to === OTHER)?.message;
  return sent && 'round' in sent ? sent.round : 0;
}

test('a leader that stood still has no lease by answers from before, though more is sent under their round', () => {
  const {node, hear, elected} = createLeader();
  expect(node.role).toBe('leader');
  const commands = Array.from({length: MANY}, (): ControlCommand => {
    return {type: 'start-term', time: 0};
  });
  const last = findRound(node.step({type: 'propose', commands}, 710));
  const answer = {type: 'append-answer', term: 1, isMatch: true} as const;
  // Both answers waited in the socket of a process that stood still for 5 s.
  const wokenAt = 5_710;
  hear({...answer, matchIndex: 1, round: findRound(elected)}, wokenAt);
  expect(node.hasLease(wokenAt)).toBe(false);
  hear({...answer, matchIndex: 257, round: last}, wokenAt);
  expect(node.hasLease(wokenAt)).toBe(false);
});
