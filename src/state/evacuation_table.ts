/** The availability zones that operators have evacuated. */
import {z} from 'zod';
import {ZoneEvacuation} from '../protocol/zone_evacuation';
import {CommandResult} from './command_result';

const Saved = z.object({
  version: z.int().nonnegative(),
  zones: z.array(ZoneEvacuation),
});

/** Evacuated zones with a version that increases with each change. */
export class EvacuationTable {
  private readonly zones: Map<string, ZoneEvacuation>;
  private changes: number;

  private constructor(saved: z.infer<typeof Saved>) {
    this.zones = new Map(saved.zones.map(each => [each.zone, each]));
    this.changes = saved.version;
  }

  /**
   * Creates an empty table, or that of a snapshot.
   *
   * @example
   * const evacuations = EvacuationTable.create();
   */
  static create(saved?: unknown): EvacuationTable {
    return new EvacuationTable(
      saved === undefined ? {version: 0, zones: []} : Saved.parse(saved),
    );
  }

  /** Number of changes so far. */
  get version(): number {
    return this.changes;
  }

  has(zone: string): boolean {
    return this.zones.has(zone);
  }

  list(): ZoneEvacuation[] {
    return [...this.zones.values()];
  }

  /** Evacuates a zone; an evacuated one keeps the time and the author of its first order. */
  evacuate(evacuation: ZoneEvacuation): CommandResult {
    const {zone, requestedBy} = evacuation;
    if (this.zones.has(zone)) {
      return {isAccepted: true, reason: `${zone} is already evacuated`};
    }
    this.zones.set(zone, evacuation);
    this.changes += 1;
    return {isAccepted: true, reason: `ordered by ${requestedBy}`};
  }

  restore(zone: string, requestedBy: string): CommandResult {
    if (!this.zones.delete(zone)) {
      return {isAccepted: true, reason: `${zone} is not evacuated`};
    }
    this.changes += 1;
    return {isAccepted: true, reason: `ordered by ${requestedBy}`};
  }

  save(): z.infer<typeof Saved> {
    return {version: this.changes, zones: this.list()};
  }
}
