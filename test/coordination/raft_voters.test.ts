import {describe, expect, test} from 'vitest';
import {RaftLog} from '../../src/coordination/agreement/raft_log';
import {RaftNode} from '../../src/coordination/agreement/raft_node';
import {decideVoterChange} from '../../src/coordination/agreement/decide_voter_change';
import {LogEntry} from '../../src/protocol/log_entry';

const TIMING = {heartbeatMs: 50, electionMs: 300, leaseMs: 225};
const INITIAL_VOTERS = ['a', 'b', 'c'];

function setVoter(index: number, name: string, replaces?: string): LogEntry {
  const command = {
    type: 'set-voter' as const,
    time: 0,
    name,
    identity: `${name}/1`,
    replaces,
  };
  return {index, term: 1, command};
}

/** Creates a restarted node of a quorum that grew from three voters to five. */
function createRestartedNode(knownCommitIndex: number | undefined): RaftNode {
  const voters = new Map(INITIAL_VOTERS.map(name => [name, `${name}/1`]));
  const entries = [setVoter(1, 'd'), setVoter(2, 'e')];
  return RaftNode.create({
    identity: 'a/1',
    log: RaftLog.create({index: 0, term: 0, voters}, entries),
    term: 1,
    votedFor: undefined,
    commitIndex: 0,
    knownCommitIndex,
    timing: TIMING,
    random: () => 0,
    readSnapshot: () => new Uint8Array(),
    now: 0,
  });
}

/** Lets the node start an election in which these voters grant their votes. */
function elect(node: RaftNode, granting: readonly string[]): string {
  node.step({type: 'tick'}, 1_000);
  for (const expectedRole of ['pre-candidate', 'candidate']) {
    for (const from of granting) {
      if (node.role === expectedRole) {
        const isPreVote = expectedRole === 'pre-candidate';
        const vote = {term: 2, isGranted: true, isPreVote};
        const message = {type: 'vote-answer' as const, ...vote};
        node.step({type: 'message', from, message}, 1_000);
      }
    }
  }
  return node.role;
}

describe('a quorum that grew from three voters to five', () => {
  test('elects a leader with three of five voters after two initial voters lost their disks', () => {
    expect(elect(createRestartedNode(2), ['d/1', 'e/1'])).toBe('leader');
  });

  test('still needs a majority of the initial voters while the new voters may not be committed', () => {
    expect(elect(createRestartedNode(undefined), ['d/1', 'e/1'])).toBe(
      'pre-candidate',
    );
  });

  test('replaces one voter by another in a single step', () => {
    const voters = new Map(INITIAL_VOTERS.map(name => [name, `${name}/1`]));
    const log = RaftLog.create({index: 0, term: 0, voters}, [
      setVoter(1, 'd', 'b'),
    ]);

    expect([...log.listActiveVoterSets(1)[0].keys()]).toEqual(['a', 'c', 'd']);
    expect(log.listActiveVoterSets(0)).toHaveLength(2);
  });
});

describe('decideVoterChange', () => {
  const voters = new Map([
    ['a', 'a/1'],
    ['b', 'b/1'],
    ['c', 'c/1'],
  ]);
  const allResponsive = () => false;
  const silence = {
    findSilentSince: (identity: string) =>
      identity === 'b/1' ? 1_000 : undefined,
    findAppearedAt: () => 2_000,
    findZone: () => undefined,
    now: 4_000,
  };

  test('changes nothing without candidates', () => {
    const input = {
      voters,
      candidates: [],
      target: 5,
      isUnresponsive: allResponsive,
      ...silence,
    };
    expect(decideVoterChange(input)).toBeUndefined();
  });

  test('adds one voter at a time until the quorum has its target size', () => {
    const input = {
      voters,
      candidates: ['a/1', 'd/7', 'e/8'],
      target: 5,
      isUnresponsive: allResponsive,
      ...silence,
    };
    expect(decideVoterChange(input)).toEqual({name: 'd', identity: 'd/7'});
  });

  test('replaces an unresponsive voter by a candidate', () => {
    const input = {
      voters,
      candidates: ['d/7'],
      target: 3,
      isUnresponsive: (identity: string) => identity === 'b/1',
      ...silence,
    };
    expect(decideVoterChange(input)).toEqual({
      name: 'd',
      identity: 'd/7',
      replaces: 'b',
    });
  });

  test('a voter that is only away keeps its vote when the successor of another one appears', () => {
    const silentSince = new Map([
      ['a/1', 400],
      ['b/1', 1_000],
    ]);
    const decide = (now: number, appearedAt = 2_000) =>
      decideVoterChange({
        voters,
        candidates: ['d/7'],
        target: 3,
        isUnresponsive: identity =>
          now - (silentSince.get(identity) ?? now) > 2_500,
        findSilentSince: identity => silentSince.get(identity),
        findAppearedAt: () => appearedAt,
        findZone: () => undefined,
        now,
      });

    expect(decide(3_000)).toBeUndefined();
    expect(decide(3_600)).toMatchObject({name: 'd', replaces: 'b'});
    expect(decide(3_600, 700)).toMatchObject({replaces: 'a'});
    expect(decide(3_600, 100)).toMatchObject({replaces: 'a'});
  });

  describe('when two voters fell silent within one probe interval', () => {
    const zones: Readonly<Record<string, string>> = {
      'a/1': 'zone-1',
      'b/1': 'zone-2',
      'd/7': 'zone-1',
    };
    const decide = ({
      isZoneKnown = true,
      now = 5_000,
      appearedAt = 2_000,
    } = {}) =>
      decideVoterChange({
        voters,
        candidates: ['c/1', 'd/7'],
        target: 3,
        isUnresponsive: identity => identity !== 'c/1',
        findSilentSince: identity =>
          ({'a/1': 1_000, 'b/1': 1_170})[identity as 'a/1'],
        findAppearedAt: () => appearedAt,
        findZone: identity => (isZoneKnown ? zones[identity] : undefined),
        now,
      });

    test('the one in the zone of the successor loses its vote', () => {
      expect(decide()).toMatchObject({name: 'd', replaces: 'a'});
    });

    test('without zones, the one that fell silent last loses its vote', () => {
      expect(decide({isZoneKnown: false})).toMatchObject({replaces: 'b'});
    });

    test('a successor that has just appeared waits, as a third voter may have fallen silent', () => {
      expect(decide({now: 2_900})).toBeUndefined();
      expect(decide({now: 3_300})).toMatchObject({replaces: 'a'});
    });
  });

  test('does not add a candidate to a full quorum while every voter responds', () => {
    const input = {
      voters,
      candidates: ['d/7'],
      target: 3,
      isUnresponsive: allResponsive,
      ...silence,
    };
    expect(decideVoterChange(input)).toBeUndefined();
  });

  test('gives priority to a voter that returned with a new disk', () => {
    const input = {
      voters,
      candidates: ['d/7', 'b/2'],
      target: 5,
      isUnresponsive: (identity: string) => identity === 'b/1',
      ...silence,
    };
    expect(decideVoterChange(input)).toEqual({name: 'b', identity: 'b/2'});
  });

  test('does not replace the disk of a voter that still responds under its old identity', () => {
    const input = {
      voters,
      candidates: ['b/2'],
      target: 3,
      isUnresponsive: allResponsive,
      ...silence,
    };
    expect(decideVoterChange(input)).toBeUndefined();
  });
});

describe('log entries with large bundles', () => {
  test('are sent to a follower in several messages of limited size', () => {
    const voters = new Map([
      ['a', 'a/1'],
      ['b', 'b/1'],
    ]);
    const limits = {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    };
    const entries = [1, 2, 3, 4].map(index => ({
      index,
      term: 1,
      command: {
        type: 'accept-channel-bundle' as const,
        time: 0,
        bundle: {
          channel: 'c',
          source: 'x'.repeat(300_000),
          rules: {version: index, routes: [], pools: [], limits},
        },
      },
    }));
    const node = RaftNode.create({
      identity: 'a/1',
      log: RaftLog.create({index: 0, term: 0, voters}, entries),
      term: 1,
      votedFor: undefined,
      commitIndex: 0,
      timing: TIMING,
      random: () => 0,
      readSnapshot: () => new Uint8Array(),
      now: 0,
    });
    expect(elect(node, ['b/1'])).toBe('leader');
    const answer = {
      type: 'append-answer' as const,
      term: 2,
      isMatch: false,
      matchIndex: 0,
      round: 1,
    };
    node.step({type: 'message', from: 'b/1', message: answer}, 1_010);
    const {messages} = node.step({type: 'tick'}, 1_200);
    const [sent] = messages.flatMap(({message}) =>
      message.type === 'append-ask' ? [message.entries.length] : [],
    );

    expect(sent).toBe(1);
  });
});
