/** A host's own part in its group: which one it belongs to, and what it may answer for. */
import {Group} from '../../protocol/group';
import {HEARTBEAT_LEASE_MS} from './heartbeat_lease_ms';

/** A process, told apart from its earlier lives. */
interface ProcessName {
  readonly hostId: string;
  readonly incarnation: string;
}

/** The group and epoch that a host reports. */
interface Assignment {
  readonly groupId: string;
  readonly epoch: number;
}

/**
 * Belongs to one group and epoch at a time.
 *
 * A heartbeat that was answered lets the asker serve for a while. So a host
 * that leaves stays bound to its old group until that time is over, unless the
 * old first member itself shows that it left.
 */
export class Membership {
  private currentGroup: Group | null = null;
  private boundTo: Assignment | null = null;
  private boundUntil = -Infinity;
  private answeredTo: ProcessName | undefined;

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

  /** The group that control last named; null for none. */
  get group(): Group | null {
    return this.currentGroup;
  }

  /** Takes over what control says. True when the group or its epoch changed. */
  assign(group: Group | null): boolean {
    const before = this.currentGroup;
    const isSame = before?.id === group?.id && before?.epoch === group?.epoch;
    this.currentGroup = group;
    if (isSame) {
      return false;
    }
    this.boundTo = before && {groupId: before.id, epoch: before.epoch};
    return true;
  }

  /**
   * True while an earlier life of this process may still be counted as a member
   * somewhere: it must not offer itself to control yet.
   */
  isQuiet(now: number): boolean {
    return now < this.startedAt + HEARTBEAT_LEASE_MS;
  }

  /** True while the host still answers for what it left. */
  private isBound(now: number): boolean {
    return now < this.boundUntil;
  }

  /**
   * True while the first member of the group that this host left may still
   * count it. A host that leads its new group must not serve before that is over.
   */
  isBoundElsewhere(now: number): boolean {
    return this.boundTo !== null && this.isBound(now);
  }

  /** What to tell control: an old group is named until the host is free of it. */
  describe(now: number): Assignment | null {
    if (this.currentGroup) {
      return {groupId: this.currentGroup.id, epoch: this.currentGroup.epoch};
    }
    return this.isBound(now) ? this.boundTo : null;
  }

  /**
   * Decides whether to answer a heartbeat as a member.
   *
   * @param asker the first member, as it introduced itself on the connection
   */
  answerHeartbeat(ask: Assignment, asker: ProcessName, now: number): boolean {
    const group = this.currentGroup;
    if (group?.id !== ask.groupId || group.epoch !== ask.epoch) {
      return false;
    }
    const isFirst = group.members[0].hostId === asker.hostId;
    const isWaiting =
      this.isBoundElsewhere(now) && !this.hasOldFirstMoved(asker);
    if (!isFirst || isWaiting) {
      return false;
    }
    this.answeredTo = asker;
    this.boundUntil = now + HEARTBEAT_LEASE_MS;
    this.boundTo = null;
    return true;
  }

  /** Whoever asks under the new epoch no longer serves under the old one. */
  private hasOldFirstMoved(asker: ProcessName): boolean {
    return (
      this.answeredTo?.hostId === asker.hostId &&
      this.answeredTo.incarnation === asker.incarnation
    );
  }
}
