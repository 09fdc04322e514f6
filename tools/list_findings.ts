/** Lists the played days of the journal that are findings: a broken rule, a fault, or a missed floor. */
import {z} from 'zod';

const Day = z.object({
  name: z.string(),
  seed: z.number().nullish(),
  /** Broken rules by name. */
  rules: z.record(z.string(), z.unknown()).nullish(),
  fault: z.unknown(),
  /** What was short of the gate. */
  short: z.array(z.string()).nullish(),
});

const Entry = z.object({
  id: z.string(),
  cmd: z.string(),
  head: z.string().nullish(),
  site: z.string().nullish(),
  days: z.array(Day).nullish(),
});

/** A day that must be traced or listed as open. */
export interface Finding {
  readonly entry: string;
  readonly site: string;
  readonly command: string;
  readonly head: string;
  readonly day: string;
  readonly seed: number | undefined;
  readonly reasons: readonly string[];
}

/**
 * Lists the findings of one entry.
 *
 * @param json the parsed entry; one of another form, such as a build, has none
 * @example
 * const findings = listFindings(JSON.parse(readFileSync(file, 'utf8')));
 */
export function listFindings(json: unknown): Finding[] {
  const entry = Entry.safeParse(json).data;
  return (entry?.days ?? []).flatMap(day => {
    const reasons = [
      ...Object.keys(day.rules ?? {}).map(rule => `broken rule ${rule}`),
      ...(day.fault ? [`fault: ${JSON.stringify(day.fault)}`] : []),
      ...(day.short ?? []),
    ];
    return entry === undefined || reasons.length === 0
      ? []
      : [
          {
            entry: entry.id,
            site: entry.site ?? '',
            command: entry.cmd,
            head: entry.head ?? '',
            day: day.name,
            seed: day.seed ?? undefined,
            reasons,
          },
        ];
  });
}
