/** The first member's right to serve: a fresh heartbeat from every other member. */
import {Group} from '../../protocol/group';
import {HEARTBEAT_LEASE_MS} from './heartbeat_lease_ms';

/** Tracks the heartbeats of one group under one epoch. */
export class GroupLease {
  /** For each other member, when its newest answered heartbeat was asked for. */
  private readonly askedAt = new Map<string, number>();
  /** The same for answers of any kind, also of members that are not ready. */
  private readonly heardAt = new Map<string, number>();

  private constructor(
    readonly group: Group,
    private readonly hostId: string,
    private readonly startedAt: number,
    private readonly leaseMs: number,
  ) {}

  /**
   * Creates a lease without any heartbeat: the group does not serve yet.
   *
   * @param hostId the first member's own id
   * @param now milliseconds on the first member's clock
   * @example
   * const lease = GroupLease.create(group, 'h1', clock.now());
   */
  static create(
    group: Group,
    hostId: string,
    now: number,
    leaseMs = HEARTBEAT_LEASE_MS,
  ): GroupLease {
    return new GroupLease(group, hostId, now, leaseMs);
  }

  /** Members whose heartbeats are needed. */
  get others(): Group['members'] {
    return this.group.members.filter(member => member.hostId !== this.hostId);
  }

  /** Notes an answered heartbeat by the time before it was asked for. */
  recordHeartbeat(hostId: string, askedAt: number): void {
    const earlier = this.askedAt.get(hostId) ?? -Infinity;
    this.askedAt.set(hostId, Math.max(earlier, askedAt));
  }

  /** Notes that a member answered that it is not ready, or no member any more. */
  recordRefusal(hostId: string, askedAt: number): void {
    this.askedAt.delete(hostId);
    this.heardAt.set(hostId, askedAt);
  }

  /** Members that do not answer at all: lost, not just starting. */
  listSilent(now: number): string[] {
    return this.listMissing(now).filter(hostId => {
      const heardAt = this.heardAt.get(hostId) ?? this.startedAt;
      return heardAt <= now - this.leaseMs;
    });
  }

  /** Members without a fresh heartbeat. */
  listMissing(now: number): string[] {
    return this.others
      .map(member => member.hostId)
      .filter(
        hostId =>
          !((this.askedAt.get(hostId) ?? -Infinity) > now - this.leaseMs),
      );
  }

  /** True while every member is known to be present. */
  isHeld(now: number): boolean {
    return this.listMissing(now).length === 0;
  }
}
