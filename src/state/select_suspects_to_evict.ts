/** Decides what a full table of suspects forgets. */
import {Suspect} from './suspect';

/** Leading digits of a request's name that tell its caller. */
const CALLER_DIGITS = 8;
/** One caller's flood of such requests must not push out what others' cost. */
const MAX_OF_CALLER = 64;
/** At some 300 bytes each, the table stays under 0.4 MB in memory and snapshots. */
const MAX_SUSPECTS = 1_024;

/** What says least goes first: mere presence, then doubt, then verdicts. */
const ORDER: Readonly<Record<Suspect['standing'], number>> = {
  watched: 0,
  suspected: 1,
  convicted: 2,
};

/**
 * Names what is over the limits: first of callers that have too many, then of the
 * caller that has most; of each the least that is known, the oldest first.
 *
 * @example
 * listForgotten(suspects).forEach(name => suspects.delete(name));
 */
export function selectSuspectsToEvict(
  suspects: ReadonlyMap<string, Suspect>,
): string[] {
  const callers = new Map<string, string[]>();
  for (const name of suspects.keys()) {
    const caller = name.slice(0, CALLER_DIGITS);
    callers.set(caller, [...(callers.get(caller) ?? []), name]);
  }
  const forgotten: string[] = [];
  const forgetOf = (names: string[], count: number) => {
    const rank = (name: string) =>
      ORDER[suspects.get(name)?.standing ?? 'watched'];
    const sorted = [...names].sort((left, right) => rank(left) - rank(right));
    forgotten.push(...sorted.slice(0, count));
    return sorted.slice(count);
  };
  const kept = [...callers.values()].map(names =>
    forgetOf(names, Math.max(0, names.length - MAX_OF_CALLER)),
  );
  let left = kept.reduce((sum, names) => sum + names.length, 0);
  while (left > MAX_SUSPECTS) {
    kept.sort((first, second) => second.length - first.length);
    kept[0] = forgetOf(kept[0], 1);
    left -= 1;
  }
  return forgotten;
}
