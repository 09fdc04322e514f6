import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {GroupLease} from '../../src/coordination/groups/group_lease';
import {HEARTBEAT_LEASE_MS} from '../../src/coordination/groups/heartbeat_lease_ms';
import {Membership} from '../../src/coordination/groups/membership';
import {Group} from '../../src/protocol/group';
import {GroupTable} from '../../src/state/group_table';

const HOSTS = ['h1', 'h2', 'h3', 'h4'];
const RUNS = 1_000;

function createGroup(id: string, epoch: number, members: string[]): Group {
  return {
    id,
    epoch,
    fencing: 1,
    kind: 'model',
    name: 'm',
    domain: 'd',
    zone: 'z',
    members: members.map(hostId => ({hostId, incarnation: 'i', address: ''})),
    isDraining: false,
  };
}

/** One life of a host process: its membership, and its lease if it is a first member. */
class FakeHost {
  membership: Membership;
  lease: GroupLease | undefined;
  incarnation = 1;

  constructor(
    readonly hostId: string,
    now: number,
  ) {
    this.membership = Membership.create(now);
  }

  restart(now: number): void {
    this.incarnation += 1;
    this.membership = Membership.create(now);
    this.lease = undefined;
  }

  assign(group: Group | null): void {
    if (this.membership.assign(group)) {
      const isFirst = group?.members[0].hostId === this.hostId;
      this.lease =
        isFirst && group ? GroupLease.create(group, this.hostId, 0) : undefined;
    }
  }
}

/** An answer on its way to the first member that asked. */
interface Answer {
  readonly to: string;
  readonly toIncarnation: number;
  readonly from: string;
  readonly groupId: string;
  readonly epoch: number;
  readonly askedAt: number;
}

/** Hosts, control's table, and answers under way; every step is chosen from outside. */
class FakeFleet {
  now = 10_000;
  readonly table = GroupTable.create();
  readonly hosts = new Map(HOSTS.map(id => [id, new FakeHost(id, 0)]));
  readonly answers: Answer[] = [];

  get(hostId: string): FakeHost {
    return this.hosts.get(hostId) as FakeHost;
  }

  /** Control may only give a host to a group when the host itself reports none. */
  propose(id: string, members: string[]): void {
    const isFree = (hostId: string) => {
      const {membership} = this.get(hostId);
      const owner = this.table.findByHost(hostId)?.id;
      const isIdle =
        !membership.isQuiet(this.now) && membership.describe(this.now) === null;
      return owner === id || (owner === undefined && isIdle);
    };
    if (members.every(isFree)) {
      this.table.set(createGroup(id, this.table.findEpoch(id) + 1, members));
    }
  }

  remove(id: string): void {
    this.table.remove(id, this.table.findEpoch(id));
  }

  /** A host hears control's newest word. */
  tell(hostId: string): void {
    const host = this.get(hostId);
    if (!host.membership.isQuiet(this.now)) {
      host.assign(this.table.findByHost(hostId) ?? null);
    }
  }

  ask(hostId: string): void {
    const host = this.get(hostId);
    const group = host.lease?.group;
    for (const member of host.lease?.others ?? []) {
      const asked = this.get(member.hostId);
      const asker = {hostId, incarnation: String(host.incarnation)};
      const ask = {groupId: group?.id ?? '', epoch: group?.epoch ?? 0};
      if (asked.membership.answerHeartbeat(ask, asker, this.now)) {
        this.answers.push({
          to: hostId,
          toIncarnation: host.incarnation,
          from: member.hostId,
          ...ask,
          askedAt: this.now,
        });
      }
    }
  }

  deliver(at: number): void {
    const [answer] = this.answers.splice(at, 1);
    const {lease, incarnation} = this.get(answer.to);
    const isCurrent =
      lease?.group.id === answer.groupId &&
      lease.group.epoch === answer.epoch &&
      incarnation === answer.toIncarnation;
    if (isCurrent) {
      lease.recordHeartbeat(answer.from, answer.askedAt);
    }
  }

  /** Groups and epochs that serve right now and count this host as a member. */
  listServing(hostId: string): string[] {
    return [...this.hosts.values()]
      .filter(({membership}) => !membership.isBoundElsewhere(this.now))
      .map(({lease}) => lease)
      .filter(lease => lease?.isHeld(this.now))
      .filter(lease =>
        lease?.group.members.some(member => member.hostId === hostId),
      )
      .map(lease => `${lease?.group.id}@${lease?.group.epoch}`);
  }
}

const host = fc.constantFrom(...HOSTS);
const groupId = fc.constantFrom('g1', 'g2');
const step = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant('propose' as const),
      groupId,
      members: fc.shuffledSubarray(HOSTS, {minLength: 1, maxLength: 3}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('remove' as const), groupId}),
  },
  {weight: 6, arbitrary: fc.record({do: fc.constant('tell' as const), host})},
  {weight: 6, arbitrary: fc.record({do: fc.constant('ask' as const), host})},
  {
    weight: 8,
    arbitrary: fc.record({do: fc.constant('deliver' as const), pick: fc.nat()}),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      do: fc.constant('wait' as const),
      ms: fc.integer({min: 1, max: 500}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({do: fc.constant('restart' as const), host}),
  },
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function play(fleet: FakeFleet, chosen: Step): void {
  const actions: {[T in Step['do']]: (step: Extract<Step, {do: T}>) => void} = {
    propose: ({groupId, members}) => fleet.propose(groupId, members),
    remove: ({groupId}) => fleet.remove(groupId),
    tell: ({host}) => fleet.tell(host),
    ask: ({host}) => fleet.ask(host),
    deliver: ({pick}) =>
      fleet.answers.length > 0 && fleet.deliver(pick % fleet.answers.length),
    wait: ({ms}) => (fleet.now += ms),
    restart: ({host}) => fleet.get(host).restart(fleet.now),
  };
  actions[chosen.do](chosen as never);
}

describe('membership', () => {
  test('no host is counted by two serving groups or epochs at once, whatever is late, lost or restarted', () => {
    let served = 0;
    fc.assert(
      fc.property(fc.array(step, {minLength: 80, maxLength: 300}), steps => {
        const fleet = new FakeFleet();
        for (const chosen of steps) {
          play(fleet, chosen);
          for (const hostId of HOSTS) {
            const serving = fleet.listServing(hostId);
            served += serving.length;
            expect(serving.length, serving.join(' and ')).toBeLessThanOrEqual(
              1,
            );
          }
        }
      }),
      {numRuns: RUNS, seed: 20_261_202},
    );
    // The property says nothing unless groups did serve.
    expect(served).toBeGreaterThan(RUNS);
  });

  test('a heartbeat counts from when it was asked for, so a late answer is not fresh', () => {
    const lease = GroupLease.create(createGroup('g', 1, ['h1', 'h2']), 'h1', 0);
    lease.recordHeartbeat('h2', 1_000);

    expect(lease.isHeld(1_000 + HEARTBEAT_LEASE_MS - 1)).toBe(true);
    expect(lease.isHeld(1_000 + HEARTBEAT_LEASE_MS)).toBe(false);
  });

  test('a host that leaves reports its old group until its last heartbeat has run out', () => {
    const membership = Membership.create(0);
    membership.assign(createGroup('g', 1, ['h1', 'h2']));
    membership.answerHeartbeat(
      {groupId: 'g', epoch: 1},
      {hostId: 'h1', incarnation: 'i'},
      5_000,
    );
    membership.assign(null);

    expect(membership.describe(5_000 + HEARTBEAT_LEASE_MS - 1)).toEqual({
      groupId: 'g',
      epoch: 1,
    });
    expect(membership.describe(5_000 + HEARTBEAT_LEASE_MS)).toBe(null);
  });

  test('a new epoch is answered at once when the old first member itself asks under it', () => {
    const membership = Membership.create(0);
    const first = {hostId: 'h1', incarnation: 'i'};
    membership.assign(createGroup('g', 1, ['h1', 'h2']));
    membership.answerHeartbeat({groupId: 'g', epoch: 1}, first, 5_000);
    membership.assign(createGroup('g', 2, ['h1', 'h2', 'h3']));

    expect(
      membership.answerHeartbeat({groupId: 'g', epoch: 2}, first, 5_001),
    ).toBe(true);
  });

  test('a new first member has to wait until the old one cannot serve any more', () => {
    const membership = Membership.create(0);
    membership.assign(createGroup('g', 1, ['h1', 'h2']));
    const old = {hostId: 'h1', incarnation: 'i'};
    membership.answerHeartbeat({groupId: 'g', epoch: 1}, old, 5_000);
    membership.assign(createGroup('g', 2, ['h3', 'h2']));
    const next = {hostId: 'h3', incarnation: 'i'};
    const ask = {groupId: 'g', epoch: 2};

    expect(membership.answerHeartbeat(ask, next, 5_001)).toBe(false);
    expect(
      membership.answerHeartbeat(ask, next, 5_000 + HEARTBEAT_LEASE_MS),
    ).toBe(true);
  });
});
