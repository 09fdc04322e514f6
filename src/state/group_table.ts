/** Replica groups: who belongs to which, under which epoch. */
import {z} from 'zod';
import {Group} from '../protocol/group';
import {CommandResult} from './command_result';

const Snapshot = z.object({
  groups: z.array(Group),
  /** The last epoch of every group that ever was; epochs are never used again. */
  epochs: z.record(z.string(), z.int()),
  version: z.int(),
});

/** Holds each host in one group at most. */
export class GroupTable {
  private readonly groups: Map<string, Group>;
  private readonly epochs: Map<string, number>;
  private readonly groupOfHost = new Map<string, string>();

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

  /** Rises with each change; entries ask for the table by it. */
  get version(): number {
    return this.changeCount;
  }

  list(): Group[] {
    return [...this.groups.values()];
  }

  find(groupId: string): Group | undefined {
    return this.groups.get(groupId);
  }

  /** The group that a host belongs to. */
  findByHost(hostId: string): Group | undefined {
    return this.groups.get(this.groupOfHost.get(hostId) ?? '');
  }

  /** The last epoch that a group id had; 0 when it never was. */
  findEpoch(groupId: string): number {
    return this.epochs.get(groupId) ?? 0;
  }

  /** Sets a group under its next epoch. */
  set(group: Group): CommandResult {
    const expected = this.findEpoch(group.id) + 1;
    if (group.epoch !== expected) {
      return {
        isAccepted: false,
        reason: `epoch ${group.epoch} of ${group.id} is not ${expected}`,
      };
    }
    const taken = group.members.find(member =>
      this.isTaken(member.hostId, group.id),
    );
    if (taken) {
      const owner = this.groupOfHost.get(taken.hostId);
      return {
        isAccepted: false,
        reason: `host ${taken.hostId} belongs to ${owner}`,
      };
    }
    this.dropMembers(group.id);
    this.groups.set(group.id, group);
    this.epochs.set(group.id, group.epoch);
    this.indexMembers(group);
    this.changeCount += 1;
    return {isAccepted: true, reason: 'set'};
  }

  /** Stops new work on a group if it still has this epoch. */
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
    this.dropMembers(groupId);
    this.groups.delete(groupId);
    this.changeCount += 1;
    return {isAccepted: true, reason: 'removed'};
  }

  /** The table as plain data. */
  save(): z.infer<typeof Snapshot> {
    return {
      groups: this.list(),
      epochs: Object.fromEntries(this.epochs),
      version: this.changeCount,
    };
  }

  private isTaken(hostId: string, groupId: string): boolean {
    const owner = this.groupOfHost.get(hostId);
    return owner !== undefined && owner !== groupId;
  }

  private indexMembers(group: Group): void {
    group.members.forEach(member =>
      this.groupOfHost.set(member.hostId, group.id),
    );
  }

  private dropMembers(groupId: string): void {
    this.groups
      .get(groupId)
      ?.members.forEach(member => this.groupOfHost.delete(member.hostId));
  }
}
