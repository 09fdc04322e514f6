/** Suspects that are no longer restricted, so that gateways can be told of it. */
import {z} from 'zod';

/** A gateway that is further behind gets the whole list of suspects. */
const MAX_FREED = 1_024;

/** Keeps the newest ones, each with the version of the table that freed it. */
export class FreedSuspects {
  static readonly schema = z.array(z.tuple([z.string(), z.int()]));

  private constructor(
    private entries: ReadonlyArray<readonly [string, number]>,
  ) {}

  /**
   * Creates a list from that of a snapshot.
   *
   * @example
   * const freed = FreedSuspects.create([]);
   */
  static create(saved: z.infer<typeof FreedSuspects.schema>): FreedSuspects {
    return new FreedSuspects(saved);
  }

  record(name: string, version: number): void {
    this.entries = [...this.entries, [name, version] as const].slice(
      -MAX_FREED,
    );
  }

  /** Whether all that were freed after this version are kept. */
  hasAllSince(version: number): boolean {
    const oldest = this.entries[0]?.[1] ?? 0;
    return this.entries.length < MAX_FREED || version >= oldest;
  }

  /** Lists the names that were freed after this version. */
  listSince(version: number): string[] {
    return this.entries
      .filter(([, freedAt]) => freedAt > version)
      .map(([name]) => name);
  }

  save(): z.infer<typeof FreedSuspects.schema> {
    return this.entries.map(([name, freedAt]) => [name, freedAt]);
  }
}
