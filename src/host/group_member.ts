/** This host as a member of its group, and as the holder of the group's lease if it is the first. */
import {Clock} from '../common/clock';
import {GroupLease} from '../coordination/groups/group_lease';
import {HEARTBEAT_LEASE_MS} from '../coordination/groups/heartbeat_lease_ms';
import {Membership} from '../coordination/groups/membership';
import {Group} from '../protocol/group';
import {HostReport} from '../protocol/host_report';
import {MembershipMessage} from '../protocol/membership_message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {TlsCredentials} from '../transport/tls_credentials';
import {EngineController} from './engine_controller';
import {HeartbeatPoller} from './heartbeat_poller';

/** The host's identity and what it works with. */
interface GroupMemberOptions {
  readonly hostId: string;
  readonly identity: Parameters<typeof Peer.create>[1];
  /** For promises to other hosts: never overestimates the time that has passed, so none ends early. */
  readonly clock: Clock;
  /** For promises by other hosts: never underestimates the time that has passed, so none is relied on too long. */
  readonly leaseClock: Clock;
  readonly engine: EngineController;
  readonly security?: TlsCredentials;
}

type GroupReport = Pick<
  HostReport,
  'assignment' | 'told' | 'isServing' | 'missing'
>;

/** Answers heartbeat requests as a member, and sends them as the first member. */
export class GroupMember {
  private readonly membership: Membership;
  private lease: GroupLease | undefined;
  private poller: HeartbeatPoller | undefined;
  /** How far the lease clock was ahead of the steady clock when last compared. */
  private clockOffsetMs = 0;
  /** When this process last found that it had been suspended, on its steady clock. */
  private resumedAt = -Infinity;

  private constructor(private readonly options: GroupMemberOptions) {
    const {clock, leaseClock} = options;
    this.membership = Membership.create(clock.now());
    this.clockOffsetMs = leaseClock.now() - clock.now();
  }

  /**
   * Creates the membership of a process that has just started and belongs to no group.
   *
   * @example
   * const member = GroupMember.create({hostId, identity, clock, leaseClock, engine});
   */
  static create(options: GroupMemberOptions): GroupMember {
    return new GroupMember(options);
  }

  /** The group that control last assigned. */
  get group(): Group | null {
    return this.membership.group;
  }

  /** Whether the process must not report itself to control yet. */
  isInStartupDelay(now: number): boolean {
    return this.membership.isInStartupDelay(now);
  }

  /** Applies an assignment by control; returns whether the group or its epoch changed. */
  assign(group: Group | null): boolean {
    if (!this.membership.assign(group)) {
      return false;
    }
    this.close();
    this.options.engine.setDesiredGroup(group);
    if (group?.members[0].hostId === this.options.hostId) {
      this.startLease(group);
    }
    return true;
  }

  /** Answers the first member of a group: whether this host is a ready member of it. */
  answerHeartbeat(
    peer: Peer,
    ask: MessageOf<MembershipMessage, 'heartbeat-ask'>,
  ): void {
    const {id: firstHostId, incarnation} = peer.remote;
    const now = this.options.clock.now();
    const isMember =
      this.hasBackend() &&
      this.membership.answerHeartbeat(
        ask,
        {hostId: firstHostId, incarnation},
        now,
      );
    const {hostId} = this.options;
    const {groupId, epoch, nonce} = ask;
    peer.send({
      type: 'heartbeat-answer',
      hostId,
      groupId,
      epoch,
      nonce,
      isMember,
    });
  }

  /** Whether the backend server accepted the order for the group and epoch. */
  hasBackend(): boolean {
    const {group} = this;
    return group !== null && this.options.engine.hasAccepted(group);
  }

  /** Lists the members whose absence keeps the group from serving. */
  listMissing(now: number): string[] {
    const leaseNow = this.options.leaseClock.now();
    const missing = this.lease?.listMissing(leaseNow) ?? [];
    // The previous group may still rely on this host, so the new group must not yet.
    return this.membership.isLeasedElsewhere(now)
      ? [this.options.hostId, ...missing]
      : missing;
  }

  /** Whether this host is the first member and every member is present and ready. */
  isServing(now: number): boolean {
    const isLeading = this.lease !== undefined;
    return isLeading && this.hasBackend() && this.listMissing(now).length === 0;
  }

  /** Finds why attempts for a group and epoch must stop; undefined while they may continue. */
  findStopReason(attempt: {
    groupId: string;
    epoch: number;
  }): string | undefined {
    const {group} = this;
    if (group?.id !== attempt.groupId || group.epoch !== attempt.epoch) {
      return 'the group moved on to another epoch';
    }
    const missing = this.listMissing(this.options.clock.now());
    return missing.length === 0
      ? undefined
      : `members are missing: ${missing.join(' ')}`;
  }

  /** Creates the group's part of the report to control. */
  createGroupReport(now: number): GroupReport {
    const {group} = this;
    return {
      assignment: this.membership.getReportedAssignment(now),
      told: group && {fencing: group.fencing, isDraining: group.isDraining},
      isServing: this.isServing(now),
      missing: this.hasResumedRecently(now)
        ? []
        : (this.lease?.listSilent(this.options.leaseClock.now()) ?? []),
    };
  }

  /** Stops the heartbeats and gives up the group's lease. */
  close(): void {
    this.poller?.close();
    this.poller = undefined;
    this.lease = undefined;
  }

  /**
   * After a suspension of this process every member seems silent, and none must be
   * reported missing for that.
   */
  private hasResumedRecently(now: number): boolean {
    const clockOffsetMs = this.options.leaseClock.now() - now;
    if (clockOffsetMs - this.clockOffsetMs > HEARTBEAT_LEASE_MS) {
      this.resumedAt = now;
    }
    this.clockOffsetMs = clockOffsetMs;
    return now - this.resumedAt < HEARTBEAT_LEASE_MS;
  }

  private startLease(group: Group): void {
    const {hostId, identity, leaseClock, security} = this.options;
    this.lease = GroupLease.create(group, hostId, leaseClock.now());
    this.poller = HeartbeatPoller.create({
      group,
      lease: this.lease,
      identity,
      clock: leaseClock,
      security,
    });
  }
}
