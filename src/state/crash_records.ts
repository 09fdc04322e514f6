/** Crashes of backend servers, and the suspects convicted of them. */
import {z} from 'zod';

/** Losing every domain of a fleet of hundreds of hosts takes down fewer group heads than that. */
const MAX_CRASHES = 256;

const CrashRecord = z.object({
  time: z.number(),
  /** The suspect convicted of this crash, once there is one. */
  explainedBy: z.string().optional(),
  /** Suspects that ran there in a trial. */
  trials: z.array(z.string()).optional(),
});
type CrashRecord = z.infer<typeof CrashRecord>;

/** Keeps the newest crashes, by incarnation. */
export class CrashRecords {
  static readonly schema = z.array(z.tuple([z.string(), CrashRecord]));
  private readonly records: Map<string, CrashRecord>;

  private constructor(saved: z.infer<typeof CrashRecords.schema>) {
    this.records = new Map(saved);
  }

  /**
   * Creates records from those of a snapshot.
   *
   * @example
   * const crashes = CrashRecords.create([]);
   */
  static create(saved: z.infer<typeof CrashRecords.schema>): CrashRecords {
    return new CrashRecords(saved);
  }

  /** Records a crash, unless it is known; the oldest ones are dropped. */
  add(
    incarnation: string,
    time: number,
    trials: readonly string[],
  ): CrashRecord {
    const known = this.records.get(incarnation);
    const record = known ?? {time, trials: [...trials]};
    this.records.set(incarnation, record);
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_CRASHES) {
      this.records.delete(oldest);
    }
    return record;
  }

  has(incarnation: string): boolean {
    return this.records.has(incarnation);
  }

  /** Suspects that ran there in a trial when it crashed. */
  listTrials(incarnation: string): readonly string[] {
    return this.records.get(incarnation)?.trials ?? [];
  }

  /** Removes a crash; returns false if it is not known. */
  remove(incarnation: string): boolean {
    return this.records.delete(incarnation);
  }

  /** Attributes a crash to a convicted suspect. */
  setExplained(incarnation: string, explainedBy: string): void {
    const record = this.records.get(incarnation);
    if (record) {
      this.records.set(incarnation, {time: record.time, explainedBy});
    }
  }

  /** Times of the unexplained crashes but for these. */
  listUnexplainedTimes(excluded: ReadonlySet<string>): number[] {
    return [...this.records].flatMap(([incarnation, {time, explainedBy}]) =>
      explainedBy === undefined && !excluded.has(incarnation) ? [time] : [],
    );
  }

  save(): z.infer<typeof CrashRecords.schema> {
    return [...this.records];
  }
}
