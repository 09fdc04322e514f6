/** The lease under which a group's first member serves: a recent heartbeat from every other member. */
import {Group} from '../../protocol/group';
import {HEARTBEAT_LEASE_MS} from './heartbeat_lease_ms';

/** Tracks the heartbeats of one group under one epoch. */
export class GroupLease {
  /** Time of the request that each other member last answered with a heartbeat. */
  private readonly heartbeatAskedAt = new Map<string, number>();
  /** Time of the request that each member last answered with "not ready". */
  private readonly notReadyAskedAt = new Map<string, number>();

  private constructor(
    readonly group: Group,
    private readonly hostId: string,
    private readonly startedAt: number,
    private readonly leaseMs: number,
  ) {}

  /**
   * Creates a lease without heartbeats, so the group does not serve yet.
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

  /** Members whose heartbeats the lease requires. */
  get otherMembers(): Group['members'] {
    return this.group.members.filter(member => member.hostId !== this.hostId);
  }

  /** Records an answered heartbeat by the time of its request, so that a late answer is not recent. */
  recordHeartbeat(hostId: string, askedAt: number): void {
    const earlier = this.heartbeatAskedAt.get(hostId) ?? -Infinity;
    this.heartbeatAskedAt.set(hostId, Math.max(earlier, askedAt));
  }

  /** Records that a member answered that it is not ready or no longer a member. */
  recordNotReady(hostId: string, askedAt: number): void {
    this.heartbeatAskedAt.delete(hostId);
    this.notReadyAskedAt.set(hostId, askedAt);
  }

  /** Lists members that do not answer at all, so they are lost and not just starting. */
  listSilent(now: number): string[] {
    return this.listMissing(now).filter(hostId => {
      const notReadyAskedAt =
        this.notReadyAskedAt.get(hostId) ?? this.startedAt;
      return notReadyAskedAt <= now - this.leaseMs;
    });
  }

  /** Lists members without a recent heartbeat. */
  listMissing(now: number): string[] {
    return this.otherMembers
      .map(member => member.hostId)
      .filter(
        hostId =>
          !(
            (this.heartbeatAskedAt.get(hostId) ?? -Infinity) >
            now - this.leaseMs
          ),
      );
  }

  /** True while every other member has a recent heartbeat. */
  isHeld(now: number): boolean {
    return this.listMissing(now).length === 0;
  }
}
