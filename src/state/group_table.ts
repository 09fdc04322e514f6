/** Replica groups with their members and epochs. */
import {z} from 'zod';
import {Group} from '../protocol/group';
import {CommandResult} from './command_result';

const Snapshot = z.object({
  groups: z.array(Group),
  /** The last epoch of every group id ever used; kept after removal, because epochs are never reused. */
  epochs: z.record(z.string(), z.int()),
  version: z.int(),
});

/** Keeps each host in at most one group. */
export class GroupTable {
  private readonly groups: Map<string, Group>;
  private readonly epochs: Map<string, number>;
  private readonly groupIdByHost = new Map<string, string>();

  private constructor(
    snapshot: z.infer<typeof Snapshot>,
    private changeCount: number,
  ) {
    this.groups = new Map(snapshot.groups.map(group => [group.id, group]));
    this.epochs = new Map(Object.entries(snapshot.epochs));
    snapshot.groups.forEach(group => this.indexMembers(group));
  }

  /**
   * Creates an empty table, or one from a snapshot.
   *
   * @example
   * const groups = GroupTable.create();
   */
  static create(snapshot?: unknown): GroupTable {
    const parsed = Snapshot.parse(
      snapshot ?? {groups: [], epochs: {}, version: 1},
    );
    return new GroupTable(parsed, parsed.version);
  }

  /** Incremented by each change; entry processes request the table by it. */
  get version(): number {
    return this.changeCount;
  }

  list(): Group[] {
    return [...this.groups.values()];
  }

  find(groupId: string): Group | undefined {
    return this.groups.get(groupId);
  }

  /** Finds the group that a host belongs to. */
  findByHost(hostId: string): Group | undefined {
    return this.groups.get(this.groupIdByHost.get(hostId) ?? '');
  }

  /** Finds the last epoch of a group id; 0 if the id was never used. */
  findEpoch(groupId: string): number {
    return this.epochs.get(groupId) ?? 0;
  }

  /** Creates or replaces a group; its epoch must be the next one of its id. */
  set(group: Group): CommandResult {
    const expected = this.findEpoch(group.id) + 1;
    if (group.epoch !== expected) {
      return {
        isAccepted: false,
        reason: `epoch ${group.epoch} of ${group.id} is not ${expected}`,
      };
    }
    const taken = group.members.find(member =>
      this.isInOtherGroup(member.hostId, group.id),
    );
    if (taken) {
      const owner = this.groupIdByHost.get(taken.hostId);
      return {
        isAccepted: false,
        reason: `host ${taken.hostId} belongs to ${owner}`,
      };
    }
    this.removeMembers(group.id);
    this.groups.set(group.id, group);
    this.epochs.set(group.id, group.epoch);
    this.indexMembers(group);
    this.changeCount += 1;
    return {isAccepted: true, reason: 'set'};
  }

  /** Marks a group as draining, so that it gets no new work, if it still has this epoch. */
  drain(groupId: string, epoch: number): CommandResult {
    const group = this.groups.get(groupId);
    if (group?.epoch !== epoch) {
      return {isAccepted: false, reason: `${groupId} is not at epoch ${epoch}`};
    }
    this.groups.set(groupId, {...group, isDraining: true});
    this.changeCount += 1;
    return {isAccepted: true, reason: 'drains'};
  }

  /** Removes a group if it still has this epoch. */
  remove(groupId: string, epoch: number): CommandResult {
    if (this.groups.get(groupId)?.epoch !== epoch) {
      return {isAccepted: false, reason: `${groupId} is not at epoch ${epoch}`};
    }
    this.removeMembers(groupId);
    this.groups.delete(groupId);
    this.changeCount += 1;
    return {isAccepted: true, reason: 'removed'};
  }

  /** Returns the table as plain data, for a snapshot. */
  save(): z.infer<typeof Snapshot> {
    return {
      groups: this.list(),
      epochs: Object.fromEntries(this.epochs),
      version: this.changeCount,
    };
  }

  private isInOtherGroup(hostId: string, groupId: string): boolean {
    const owner = this.groupIdByHost.get(hostId);
    return owner !== undefined && owner !== groupId;
  }

  private indexMembers(group: Group): void {
    group.members.forEach(member =>
      this.groupIdByHost.set(member.hostId, group.id),
    );
  }

  private removeMembers(groupId: string): void {
    this.groups
      .get(groupId)
      ?.members.forEach(member => this.groupIdByHost.delete(member.hostId));
  }
}
