/** A host's membership: which group it belongs to, and which heartbeats it may answer. */
import {Group} from '../../protocol/group';
import {HEARTBEAT_LEASE_MS} from './heartbeat_lease_ms';

/** A host process; the incarnation distinguishes it from its earlier starts. */
interface HostProcess {
  readonly hostId: string;
  readonly incarnation: string;
}

/** The group and epoch that a host reports. */
interface Assignment {
  readonly groupId: string;
  readonly epoch: number;
}

/**
 * Tracks the one group and epoch that a host belongs to.
 *
 * An answered heartbeat gives the asking first member a lease to serve. A host that
 * leaves its group therefore stays bound to it until that lease has expired, unless
 * the old first member itself asks under the new epoch.
 */
export class Membership {
  private currentGroup: Group | null = null;
  private previousAssignment: Assignment | null = null;
  private leasedUntil = -Infinity;
  private leaseHolder: HostProcess | undefined;

  private constructor(private readonly startedAt: number) {}

  /**
   * Creates the membership of a process that has just started.
   *
   * @example
   * const membership = Membership.create(clock.now());
   */
  static create(startedAt: number): Membership {
    return new Membership(startedAt);
  }

  /** The group that the control plane last assigned; null for none. */
  get group(): Group | null {
    return this.currentGroup;
  }

  /** Applies an assignment by the control plane. Returns true if the group or its epoch changed. */
  assign(group: Group | null): boolean {
    const before = this.currentGroup;
    const isSame = before?.id === group?.id && before?.epoch === group?.epoch;
    this.currentGroup = group;
    if (isSame) {
      return false;
    }
    this.previousAssignment = before && {
      groupId: before.id,
      epoch: before.epoch,
    };
    return true;
  }

  /**
   * True while an earlier incarnation of this host may still be covered by a lease.
   * Until then it must not report to the control plane.
   */
  isInStartupDelay(now: number): boolean {
    return now < this.startedAt + HEARTBEAT_LEASE_MS;
  }

  /** True while the lease of the last answered heartbeat has not expired. */
  private isLeaseActive(now: number): boolean {
    return now < this.leasedUntil;
  }

  /**
   * True while the first member of the group that this host left may still hold a
   * lease. A host that leads its new group must not serve before that has expired.
   */
  isLeasedElsewhere(now: number): boolean {
    return this.previousAssignment !== null && this.isLeaseActive(now);
  }

  /** Returns the assignment to report: the old group until its lease has expired. */
  getReportedAssignment(now: number): Assignment | null {
    if (this.currentGroup) {
      return {groupId: this.currentGroup.id, epoch: this.currentGroup.epoch};
    }
    return this.isLeaseActive(now) ? this.previousAssignment : null;
  }

  /**
   * Decides whether to answer a heartbeat as a member.
   *
   * @param asker the sender, as it identified itself on the connection
   */
  answerHeartbeat(ask: Assignment, asker: HostProcess, now: number): boolean {
    const group = this.currentGroup;
    if (group?.id !== ask.groupId || group.epoch !== ask.epoch) {
      return false;
    }
    const isFirst = group.members[0].hostId === asker.hostId;
    const isWaiting = this.isLeasedElsewhere(now) && !this.isLeaseHolder(asker);
    if (!isFirst || isWaiting) {
      return false;
    }
    this.leaseHolder = asker;
    this.leasedUntil = now + HEARTBEAT_LEASE_MS;
    this.previousAssignment = null;
    return true;
  }

  /** The holder of the old lease no longer serves under it once it asks under the new epoch. */
  private isLeaseHolder(asker: HostProcess): boolean {
    return (
      this.leaseHolder?.hostId === asker.hostId &&
      this.leaseHolder.incarnation === asker.incarnation
    );
  }
}
