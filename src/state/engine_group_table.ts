/** The desired groups of inference engines, and the backend servers that were retired. */
import {z} from 'zod';
import {EngineGroup} from '../protocol/engine_group';
import {CommandResult} from './command_result';

/** Incarnations are never reused, so the oldest ones can be dropped. */
const MAX_RETIRED = 512;

const Snapshot = z.object({
  groups: z.array(EngineGroup),
  retired: z.array(z.string()),
  changes: z.int(),
});

/** Keeps each backend server in at most one group; a group's epoch is the log index of the command that set it. */
export class EngineGroupTable {
  private readonly groups: Map<string, EngineGroup>;
  private readonly retired: Set<string>;
  private changeCount: number;

  private constructor(snapshot: z.infer<typeof Snapshot>) {
    this.groups = new Map(snapshot.groups.map(group => [group.name, group]));
    this.retired = new Set(snapshot.retired);
    this.changeCount = snapshot.changes;
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

  /** Incremented by each change. */
  get version(): number {
    return this.changeCount;
  }

  list(): readonly EngineGroup[] {
    return [...this.groups.values()];
  }

  isRetired(incarnation: string): boolean {
    return this.retired.has(incarnation);
  }

  /** Incarnations of retired backend servers, oldest first. */
  listRetired(): readonly string[] {
    return [...this.retired];
  }

  /** Creates or replaces a group; its members must not be in another one. */
  set(group: EngineGroup): CommandResult {
    const incarnations = new Set(
      group.members.map(member => member.incarnation),
    );
    const conflicting = this.list().find(
      other =>
        other.name !== group.name &&
        other.members.some(({incarnation}) => incarnations.has(incarnation)),
    );
    if (conflicting) {
      return {isAccepted: false, reason: `a member is in ${conflicting.name}`};
    }
    this.groups.set(group.name, group);
    this.changeCount += 1;
    return {isAccepted: true, reason: `set with epoch ${group.epoch}`};
  }

  /** Marks a group as being dissolved. */
  markEnding(name: string, epoch: number): CommandResult {
    return this.updateFlags(name, epoch, {isEnding: true});
  }

  /** Marks a group as released: a member has left it. */
  markReleased(name: string, epoch: number): CommandResult {
    return this.updateFlags(name, epoch, {isReleased: true});
  }

  /** Removes a group if it still has this epoch. */
  remove(name: string, epoch: number): CommandResult {
    const group = this.groups.get(name);
    if (group?.epoch !== epoch) {
      return {isAccepted: false, reason: `${name} has another epoch`};
    }
    this.groups.delete(name);
    this.changeCount += 1;
    return {isAccepted: true, reason: 'removed'};
  }

  /** Records that a backend server takes no new work from now on. */
  retire(incarnation: string): CommandResult {
    if (this.retired.has(incarnation)) {
      return {isAccepted: true, reason: 'retired earlier'};
    }
    this.retired.add(incarnation);
    this.changeCount += 1;
    for (const oldest of this.retired) {
      if (this.retired.size <= MAX_RETIRED) {
        break;
      }
      this.retired.delete(oldest);
    }
    return {isAccepted: true, reason: 'retired'};
  }

  private updateFlags(
    name: string,
    epoch: number,
    flags: Partial<Pick<EngineGroup, 'isEnding' | 'isReleased'>>,
  ): CommandResult {
    const group = this.groups.get(name);
    if (group?.epoch !== epoch) {
      return {isAccepted: false, reason: `${name} has another epoch`};
    }
    this.groups.set(name, {...group, ...flags});
    this.changeCount += 1;
    return {isAccepted: true, reason: Object.keys(flags).join(' ')};
  }

  /** Returns the table as plain data, for a snapshot. */
  save(): z.infer<typeof Snapshot> {
    return {
      groups: [...this.groups.values()],
      retired: [...this.retired],
      changes: this.changeCount,
    };
  }
}
