import {decode} from 'cbor-x';
import {describe, expect, test} from 'vitest';
import {ControlCommand} from '../../src/protocol/control_command';
import {MessageOf} from '../../src/protocol/message_of';
import {ClaimTable} from '../../src/state/claim_table';
import {ClusterState} from '../../src/state/cluster_state';
import {GroupTable} from '../../src/state/group_table';

type Claim = MessageOf<ControlCommand, 'claim'>;

function createClaim(changes: Partial<Claim> = {}): Claim {
  return {
    type: 'claim',
    time: 1_000,
    workspace: 'w',
    key: 'k',
    attemptId: 'r1.1',
    digest: 'd',
    groupId: 'g',
    epoch: 1,
    hostId: 'h',
    incarnation: 'i',
    address: 'a:1',
    ...changes,
  };
}

function resolve(
  attemptId: string,
  outcome: 'answered' | 'not-run' | 'unknown',
) {
  return {
    type: 'resolve-claim',
    time: 1_000,
    workspace: 'w',
    key: 'k',
    attemptId,
    outcome,
  } as const;
}

describe('the claim table', () => {
  test('grants a key to one attempt; others are told that it is in progress', () => {
    const claims = ClaimTable.create();

    expect(claims.claim(createClaim()).status).toBe('granted');
    expect(claims.claim(createClaim()).status).toBe('granted');
    expect(claims.claim(createClaim({attemptId: 'r2.1'}))).toMatchObject({
      status: 'in-progress',
      attemptId: 'r1.1',
    });
  });

  test('frees the key of an attempt that certainly did not run; any other outcome keeps it', () => {
    const claims = ClaimTable.create();
    claims.claim(createClaim());
    claims.resolve(resolve('r1.1', 'not-run'));

    expect(claims.claim(createClaim({attemptId: 'r2.1'})).status).toBe(
      'granted',
    );
    claims.resolve(resolve('r2.1', 'unknown'));
    expect(claims.claim(createClaim({attemptId: 'r3.1'}))).toEqual({
      status: 'ended',
      attemptId: 'r2.1',
      outcome: 'unknown',
    });
  });

  test('records only the first outcome of the attempt that holds the key', () => {
    const claims = ClaimTable.create();
    claims.claim(createClaim());

    expect(claims.resolve(resolve('r9.1', 'not-run'))).toBe(false);
    expect(claims.resolve(resolve('r1.1', 'answered'))).toBe(true);
    expect(claims.resolve(resolve('r1.1', 'not-run'))).toBe(false);
  });

  test('refuses the same key with a different request, before and after the attempt has ended', () => {
    const claims = ClaimTable.create();
    claims.claim(createClaim());

    expect(
      claims.claim(createClaim({attemptId: 'r2.1', digest: 'x'})).status,
    ).toBe('key-reused');
    claims.resolve(resolve('r1.1', 'not-run'));
    expect(
      claims.claim(createClaim({attemptId: 'r2.1', digest: 'x'})).status,
    ).toBe('key-reused');
  });

  test('expires claims by committed time only', () => {
    const claims = ClaimTable.create();
    claims.claim(createClaim({time: 1_000}));
    claims.expire(1_000);
    expect(claims.size).toBe(1);
    claims.expire(1_001);
    expect(claims.size).toBe(0);
  });
});

describe('the group table', () => {
  const group = {
    id: 'g',
    epoch: 1,
    fencing: 1,
    kind: 'model',
    name: 'm',
    domain: 'd',
    zone: 'z',
    members: [{hostId: 'h1', incarnation: 'i', address: ''}],
    isDraining: false,
  } as const;

  test('refuses a group with a host that belongs to another one', () => {
    const groups = GroupTable.create();
    groups.set({...group, members: [...group.members]});

    expect(
      groups.set({...group, id: 'other', members: [...group.members]}),
    ).toEqual({
      isAccepted: false,
      reason: 'host h1 belongs to g',
    });
  });

  test('never reuses an epoch, even after the group was removed', () => {
    const groups = GroupTable.create();
    groups.set({...group, members: [...group.members]});
    groups.remove('g', 1);

    expect(groups.set({...group, members: [...group.members]}).isAccepted).toBe(
      false,
    );
    expect(
      groups.set({...group, epoch: 2, members: [...group.members]}).isAccepted,
    ).toBe(true);
  });
});

test('the state is the same after it was saved and restored', () => {
  const state = ClusterState.create();
  state.apply({index: 1, term: 1, command: createClaim()});
  state.apply({
    index: 2,
    term: 1,
    command: {
      type: 'drain-host',
      time: 2_000,
      hostId: 'h',
      isDraining: true,
      keyId: 'key',
    },
  });
  const copy = ClusterState.create(state.save());

  expect(decode(copy.save())).toEqual(decode(state.save()));
  expect(copy.isDrained('h')).toBe(true);
  expect(copy.listJournal({after: 0})).toHaveLength(1);
});
