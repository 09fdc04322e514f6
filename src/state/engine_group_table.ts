/** Groups of engines that control wants, and backend servers that take no new work. */
import {z} from 'zod';
import {EngineGroup} from '../protocol/engine_group';
import {CommandResult} from './command_result';

/** Incarnations are never used again, so only the newest matter. */
const MAX_RETIRED = 512;

const Snapshot = z.object({
  groups: z.array(EngineGroup),
  retired: z.array(z.string()),
  changes: z.int(),
});

/** Refuses a host in two groups; an epoch is the place in the log. */
export class EngineGroupTable {
  private readonly groups: Map<string, EngineGroup>;
  private readonly retired: Set<string>;
  private changes: number;

  private constructor(snapshot: z.infer<typeof Snapshot>) {
    this.groups = new Map(snapshot.groups.map(group => [group.name, group]));
    this.retired = new Set(snapshot.retired);
    this.changes = snapshot.changes;
  }

  /**
   * Creates an empty table, or one from a snapshot.
   *
   * @example
   * const table = EngineGroupTable.create();
   */
  static create(snapshot?: unknown): EngineGroupTable {
    const empty = {groups: [], retired: [], changes: 0};
    return new EngineGroupTable(Snapshot.parse(snapshot ?? empty));
  }

  /** Rises with each change. */
  get version(): number {
    return this.changes;
  }

  list(): readonly EngineGroup[] {
    return [...this.groups.values()];
  }

  isRetired(incarnation: string): boolean {
    return this.retired.has(incarnation);
  }

  /** Backend servers that take no new work, oldest first. */
  listRetired(): readonly string[] {
    return [...this.retired];
  }

  /** Sets a group; its members must be in no other. */
  set(group: EngineGroup): CommandResult {
    const wanted = new Set(group.members.map(member => member.incarnation));
    const taken = this.list().find(
      other =>
        other.name !== group.name &&
        other.members.some(({incarnation}) => wanted.has(incarnation)),
    );
    if (taken) {
      return {isAccepted: false, reason: `a member is in ${taken.name}`};
    }
    this.groups.set(group.name, group);
    this.changes += 1;
    return {isAccepted: true, reason: `set with epoch ${group.epoch}`};
  }

  /** Marks a group as one that is being taken apart. */
  markEnding(name: string, epoch: number): CommandResult {
    return this.mark(name, epoch, {isEnding: true});
  }

  /** Marks a group as one that a member has left. */
  markReleased(name: string, epoch: number): CommandResult {
    return this.mark(name, epoch, {isReleased: true});
  }

  /** Removes a group under the epoch that is meant. */
  remove(name: string, epoch: number): CommandResult {
    const group = this.groups.get(name);
    if (group?.epoch !== epoch) {
      return {isAccepted: false, reason: `${name} has another epoch`};
    }
    this.groups.delete(name);
    this.changes += 1;
    return {isAccepted: true, reason: 'removed'};
  }

  /** Notes that a backend server takes no new work, for good. */
  retire(incarnation: string): CommandResult {
    if (this.retired.has(incarnation)) {
      return {isAccepted: true, reason: 'retired earlier'};
    }
    this.retired.add(incarnation);
    this.changes += 1;
    for (const oldest of this.retired) {
      if (this.retired.size <= MAX_RETIRED) {
        break;
      }
      this.retired.delete(oldest);
    }
    return {isAccepted: true, reason: 'retired'};
  }

  private mark(
    name: string,
    epoch: number,
    marks: Partial<Pick<EngineGroup, 'isEnding' | 'isReleased'>>,
  ): CommandResult {
    const group = this.groups.get(name);
    if (group?.epoch !== epoch) {
      return {isAccepted: false, reason: `${name} has another epoch`};
    }
    this.groups.set(name, {...group, ...marks});
    this.changes += 1;
    return {isAccepted: true, reason: Object.keys(marks).join(' ')};
  }

  /** The table as plain data. */
  save(): z.infer<typeof Snapshot> {
    return {
      groups: [...this.groups.values()],
      retired: [...this.retired],
      changes: this.changes,
    };
  }
}
