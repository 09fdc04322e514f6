/** This host's part in its group: membership, the engine's orders, and the lease if it is first. */
import {Clock} from '../common/clock';
import {GroupLease} from '../coordination/group_lease';
import {Membership} from '../coordination/membership';
import {Group} from '../protocol/group';
import {HostReport} from '../protocol/host_report';
import {MembershipMessage} from '../protocol/membership_message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {TransportSecurity} from '../transport/transport_security';
import {EngineOrders} from './engine_orders';
import {HeartbeatAsker} from './heartbeat_asker';

/** Who the host is and what it works with. */
interface GroupMemberOptions {
  readonly hostId: string;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly orders: EngineOrders;
  readonly security?: TransportSecurity;
}

type GroupReport = Pick<
  HostReport,
  'assignment' | 'told' | 'isServing' | 'missing'
>;

/** Answers heartbeats as a member, asks for them as the first. */
export class GroupMember {
  private readonly membership: Membership;
  private lease: GroupLease | undefined;
  private asker: HeartbeatAsker | undefined;

  private constructor(private readonly options: GroupMemberOptions) {
    this.membership = Membership.create(options.clock.now());
  }

  /**
   * Creates the part of a process that has just started and belongs to no group.
   *
   * @example
   * const member = GroupMember.create({hostId, identity, clock, orders});
   */
  static create(options: GroupMemberOptions): GroupMember {
    return new GroupMember(options);
  }

  /** The group that control last named. */
  get group(): Group | null {
    return this.membership.group;
  }

  /** True while the process must not offer itself to control yet. */
  isQuiet(now: number): boolean {
    return this.membership.isQuiet(now);
  }

  /** Takes over what control says; true when the group or its epoch changed. */
  assign(group: Group | null): boolean {
    if (!this.membership.assign(group)) {
      return false;
    }
    this.close();
    this.options.orders.setWanted(group);
    if (group?.members[0].hostId === this.options.hostId) {
      this.startLease(group);
    }
    return true;
  }

  /** Answers the first member of a group, truly or with a refusal. */
  answerHeartbeat(
    peer: Peer,
    ask: MessageOf<MembershipMessage, 'heartbeat-ask'>,
  ): void {
    const {id: askerId, incarnation} = peer.remote;
    const now = this.options.clock.now();
    const isMember =
      this.hasOrders() &&
      this.membership.answerHeartbeat(ask, {hostId: askerId, incarnation}, now);
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

  /** The backend server took the orders for the group and epoch. */
  hasOrders(): boolean {
    const {group} = this;
    return group !== null && this.options.orders.isInForce(group);
  }

  /** Members without which the group must not serve. */
  listMissing(now: number): string[] {
    const missing = this.lease?.listMissing(now) ?? [];
    // The old group may still count this host, so the new one cannot yet.
    return this.membership.isBoundElsewhere(now)
      ? [this.options.hostId, ...missing]
      : missing;
  }

  /** True for a first member whose whole group is present and ready. */
  isServing(now: number): boolean {
    const isLeading = this.lease !== undefined;
    return isLeading && this.hasOrders() && this.listMissing(now).length === 0;
  }

  /** Why work for a group and epoch must stop; undefined while it may go on. */
  checkRight(work: {groupId: string; epoch: number}): string | undefined {
    const {group} = this;
    if (group?.id !== work.groupId || group.epoch !== work.epoch) {
      return 'the group moved on to another epoch';
    }
    const missing = this.listMissing(this.options.clock.now());
    return missing.length === 0
      ? undefined
      : `members are missing: ${missing.join(' ')}`;
  }

  /** What control is told. */
  describe(now: number): GroupReport {
    const {group} = this;
    return {
      assignment: this.membership.describe(now),
      told: group && {fencing: group.fencing, isDraining: group.isDraining},
      isServing: this.isServing(now),
      missing: this.lease?.listSilent(now) ?? [],
    };
  }

  /** Stops asking; the lease is over. */
  close(): void {
    this.asker?.close();
    this.asker = undefined;
    this.lease = undefined;
  }

  private startLease(group: Group): void {
    const {hostId, identity, clock, security} = this.options;
    this.lease = GroupLease.create(group, hostId, clock.now());
    this.asker = HeartbeatAsker.create({
      group,
      lease: this.lease,
      identity,
      clock,
      security,
    });
  }
}
