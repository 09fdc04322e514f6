/** The first member's right to serve: a fresh heartbeat from every other member. */
import {Group} from '../protocol/group';
import {HEARTBEAT_LEASE_MS} from './heartbeat_lease_ms';

/** Tracks the heartbeats of one group under one epoch. */
export class GroupLease {
  /** For each other member, when its newest answered heartbeat was asked for. */
  private readonly askedAt = new Map<string, number>();

  private constructor(
    readonly group: Group,
    private readonly hostId: string,
    private readonly leaseMs: number,
  ) {}

  /**
   * Creates a lease without any heartbeat: the group does not serve yet.
   *
   * @param hostId the first member's own id
   * @example
   * const lease = GroupLease.create(group, 'h1');
   */
  static create(
    group: Group,
    hostId: string,
    leaseMs = HEARTBEAT_LEASE_MS,
  ): GroupLease {
    return new GroupLease(group, hostId, leaseMs);
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

  /** Forgets a member that said it is no longer one. */
  revoke(hostId: string): void {
    this.askedAt.delete(hostId);
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
